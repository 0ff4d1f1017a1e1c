// Measures the block table: bytes, build time, look-ups per second on one core, and what
// an edit sends. Arguments: number of blocks (default 3300000).

#include "pistachiospan/lookup/lookup.hpp"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>

using namespace pistachiospan;
using namespace pistachiospan::lookup;

namespace
{

constexpr unsigned sites = 100;

// CPU time of this thread, so that other programs on the machine count less.
double now_seconds()
{
    timespec spent{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) / 1e9;
}

double resident_mb()
{
    malloc_trim(0);
    std::ifstream status("/proc/self/statm");
    std::size_t pages = 0;
    status >> pages >> pages;
    constexpr double page = 4096;
    return static_cast<double>(pages) * page / 1e6;
}

block make_block(bool v4, std::uint64_t upper, unsigned length, site_id site)
{
    block made{
        .address = {.v4 = v4}, .length = static_cast<std::uint8_t>(length), .site = site};
    for (unsigned byte = 0; byte < 8; ++byte)
    {
        made.address.bytes[byte] = static_cast<std::uint8_t>(upper >> (56 - 8 * byte));
    }
    return made;
}

// `v6_part` of the blocks are IPv6 /48, the others IPv4 /24 (a quarter /22 to /26).
// `isolated`: no two blocks touch, so that each needs two ranges.
std::vector<block> make_blocks(std::size_t count, double v6_part, bool isolated)
{
    random_engine random(1);
    std::vector<block> blocks;
    blocks.reserve(count);
    const auto v6 = static_cast<std::size_t>(static_cast<double>(count) * v6_part);
    const auto site = [&]
    {
        return static_cast<site_id>(random() % sites);
    };
    std::uint64_t at = 0x2000'0000'0000'0000;
    for (std::size_t made = 0; made < v6; ++made)
    {
        blocks.push_back(make_block(false, at, 48, site()));
        const std::uint64_t gap = isolated ? 2 + random() % 60000 : 1 + random() % 3;
        at += gap << 16U;
    }
    at = std::uint64_t{1} << 56U;
    for (std::size_t made = v6; made < count; ++made)
    {
        const bool odd = !isolated && random() % 4 == 0;
        const unsigned length = odd        ? 22 + static_cast<unsigned>(random() % 5)
                                : isolated ? 25
                                           : 24;
        const std::uint64_t size = std::uint64_t{1} << (64 - length);
        at = (at + size - 1) / size * size;
        blocks.push_back(make_block(true, at, length, site()));
        at += isolated ? 2 * size : size;
        const bool gap = !isolated && random() % 4 == 0;
        at += gap ? size : 0;
    }
    std::sort(blocks.begin(), blocks.end(), block_less);
    const auto same = [](const block& left, const block& right)
    {
        return !block_less(left, right);
    };
    blocks.erase(std::unique(blocks.begin(), blocks.end(), same), blocks.end());
    return blocks;
}

void measure_find(const block_table& table, const std::vector<ip_address>& probes)
{
    constexpr int rounds = 5;
    double best = 1e9;
    std::uint64_t sum = 0;
    for (int round = 0; round < rounds; ++round)
    {
        const double start = now_seconds();
        for (const ip_address& probe : probes)
        {
            sum += table.find(probe).site;
        }
        best = std::min(best, now_seconds() - start);
    }
    std::printf("  look-ups: %.2f million/s, %.0f ns each (best of %d, check %llu)\n",
                static_cast<double>(probes.size()) / best / 1e6,
                best * 1e9 / static_cast<double>(probes.size()), rounds,
                static_cast<unsigned long long>(sum));
}

void measure(const char* name, std::size_t count, double v6_part, bool isolated)
{
    auto blocks = make_blocks(count, v6_part, isolated);
    std::vector<ip_address> probes;
    random_engine random(2);
    for (int probe = 0; probe < 1000000; ++probe)
    {
        probes.push_back(blocks[random() % blocks.size()].address);
        probes.back().bytes[2] ^= static_cast<std::uint8_t>(random() % 4);
    }
    const double empty = resident_mb();
    double start = now_seconds();
    auto table = block_table::build(blocks, 1).value();
    const double build = now_seconds() - start;
    const double resident = resident_mb() - empty;
    std::size_t bytes = 0;
    for (const chunk_descriptor& each : table.get_manifest().chunks)
    {
        bytes += each.size;
    }
    std::printf("%s: %zu blocks\n", name, blocks.size());
    std::printf("  build %.2f s, %zu chunks, %.2f MB encoded, %.2f MB by memory(), "
                "%.2f MB resident, %.2f bytes/block\n",
                build, table.get_manifest().chunks.size(),
                static_cast<double>(bytes) / 1e6,
                static_cast<double>(table.memory()) / 1e6, resident,
                static_cast<double>(table.memory()) / static_cast<double>(blocks.size()));
    std::printf("  manifest %.1f KB; whole table at 2 KB/s: %.0f s\n",
                static_cast<double>(table.get_manifest().encode().size()) / 1e3,
                static_cast<double>(bytes) / 2e3);
    measure_find(table, probes);
    blocks[blocks.size() / 2].site = sites;
    start = now_seconds();
    const auto edited = block_table::build(blocks, 2, &table).value();
    const auto next = block_table::from_manifest(edited.get_manifest(), &table);
    std::size_t sent = 0;
    for (const std::size_t at : next.missing_chunks())
    {
        sent += edited.get_manifest().chunks[at].size;
    }
    std::printf("  edit of one block: rebuild %.2f s, %zu chunk(s), %zu bytes, change of "
                "the manifest %zu bytes, %.1f s at 2 KB/s\n",
                now_seconds() - start, next.missing_chunks().size(), sent,
                edited.get_manifest().encode_change(table.get_manifest()).size(),
                static_cast<double>(sent) / 2e3);
}

} // namespace

int main(int argc, char** argv)
{
    const std::size_t count =
        argc > 1 ? std::strtoull(argv[1], nullptr, 10) : std::size_t{3300000};
    measure("20% IPv6, partly contiguous", count, 0.2, false);
    measure("20% IPv6, all isolated", count, 0.2, true);
    measure("all IPv6, all isolated", count, 1.0, true);
    return 0;
}
