#include "pistachiospan/lookup/internal/chunk.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <set>

namespace pistachiospan::lookup
{

using internal::detail;
using internal::detailed_site;
using internal::range;

namespace
{

// An address as a number. IPv4 addresses use the upper 32 bits.
using position = unsigned __int128;

constexpr std::uint32_t min_ranges = 64; // minimum target for the ranges of a chunk

std::uint64_t upper_of(position at)
{
    return static_cast<std::uint64_t>(at >> 64U);
}

std::uint64_t lower_of(position at)
{
    return static_cast<std::uint64_t>(at);
}

position position_of(const ip_address& address)
{
    position at = 0;
    for (const std::uint8_t byte : address.bytes)
    {
        at = (at << 8U) | byte;
    }
    return at;
}

// Mask of the bits after the first `length` bits.
position host_bits(unsigned length)
{
    return length >= 128 ? 0 : ~position{0} >> length;
}

// Receives the starts of ranges in ascending order and divides the ranges into chunks.
class chunk_writer
{
public:
    chunk_writer(bool v4, std::vector<std::uint64_t> borders, std::size_t target_ranges)
        : v4(v4), borders(std::move(borders)), target_ranges(target_ranges)
    {
        this->open(0);
    }

    void add(position at, site_id site)
    {
        const std::uint64_t upper = upper_of(at);
        while (this->next_border < this->borders.size() &&
               this->borders[this->next_border] <= upper)
        {
            this->cut(this->borders[this->next_border]);
        }
        const std::size_t max_ranges =
            this->borders.empty() ? this->target_ranges : 2 * this->target_ranges;
        const bool range_start = lower_of(at) == 0;
        if (range_start && this->ranges.size() >= max_ranges &&
            upper > this->ranges.back().upper)
        {
            this->cut(upper);
        }
        range_start ? this->add_range(upper, site) : this->add_detail(at, site);
        this->site = site;
    }

    void finish()
    {
        while (this->next_border < this->borders.size())
        {
            this->cut(this->borders[this->next_border]);
        }
        this->close();
    }

    std::vector<chunk_descriptor> descriptors;
    std::vector<std::string> bytes;

private:
    void open(std::uint64_t first)
    {
        this->first = first;
        this->ranges.assign(1, {first, this->site});
        this->details.clear();
        while (this->next_border < this->borders.size() &&
               this->borders[this->next_border] <= first)
        {
            this->next_border += 1;
        }
    }

    void close()
    {
        this->bytes.push_back(
            internal::encode_chunk(this->first, this->ranges, this->details));
        const std::string& encoded = this->bytes.back();
        this->descriptors.push_back({.v4 = this->v4,
                                     .first = this->first,
                                     .digest = hash_bytes(encoded),
                                     .size = static_cast<std::uint32_t>(encoded.size())});
    }

    void cut(std::uint64_t next_first)
    {
        this->end_details(next_first);
        if (next_first > this->first)
        {
            this->close();
            this->open(next_first);
        }
    }

    // If the last range is divided into details, adds a range that begins at the next
    // value of the upper bits.
    void end_details(std::uint64_t next_upper)
    {
        range& last = this->ranges.back();
        // A sum would wrap at the highest value.
        const bool leaves_gap = next_upper > last.upper && next_upper - last.upper > 1;
        if (last.site == detailed_site && leaves_gap)
        {
            this->ranges.push_back({last.upper + 1, this->site});
        }
    }

    void add_range(std::uint64_t upper, site_id site)
    {
        this->end_details(upper);
        if (this->ranges.back().upper == upper)
        {
            this->ranges.back().site = site;
            return;
        }
        this->ranges.push_back({upper, site});
    }

    void add_detail(position at, site_id site)
    {
        const std::uint64_t upper = upper_of(at);
        this->end_details(upper);
        range& last = this->ranges.back();
        if (last.upper != upper || last.site != detailed_site)
        {
            this->details.push_back({upper, 0, this->site});
            if (last.upper == upper)
            {
                last.site = detailed_site;
            }
            else
            {
                this->ranges.push_back({upper, detailed_site});
            }
        }
        this->details.push_back({upper, lower_of(at), site});
    }

    bool v4;
    std::vector<std::uint64_t> borders; // chunk borders of an earlier table
    std::size_t next_border = 0;
    std::size_t target_ranges;
    std::uint64_t first = 0;
    site_id site = no_site; // site at the end of the ranges so far
    std::vector<range> ranges;
    std::vector<detail> details;
};

// Converts nested blocks in ascending order into starts of disjoint ranges.
class flattener
{
public:
    explicit flattener(chunk_writer& output) : output(output) {}

    void add(position first, position last, site_id site)
    {
        this->close_before(first);
        this->emit(first, site);
        this->open.push_back({last, site});
    }

    void finish()
    {
        while (!this->open.empty())
        {
            this->close_innermost();
        }
        this->flush();
    }

private:
    struct open_block
    {
        position last;
        site_id site;
    };

    void close_before(position next)
    {
        while (!this->open.empty() && this->open.back().last < next)
        {
            this->close_innermost();
        }
    }

    void close_innermost()
    {
        const position last = this->open.back().last;
        this->open.pop_back();
        if (last != ~position{0})
        {
            this->emit(last + 1, this->open.empty() ? no_site : this->open.back().site);
        }
    }

    // A start replaces the pending one if that has the same position.
    void emit(position at, site_id site)
    {
        if (this->has_pending && this->pending != at)
        {
            this->flush();
        }
        this->pending = at;
        this->pending_site = site;
        this->has_pending = true;
    }

    void flush()
    {
        if (this->has_pending && this->pending_site != this->written_site)
        {
            this->output.add(this->pending, this->pending_site);
            this->written_site = this->pending_site;
        }
        this->has_pending = false;
    }

    chunk_writer& output;
    std::vector<open_block> open; // innermost last
    position pending = 0;
    site_id pending_site = no_site;
    site_id written_site = no_site;
    bool has_pending = false;
};

std::optional<std::string> problem_of(const block& candidate, const block* previous)
{
    const unsigned bits = candidate.address.v4 ? 32 : 128;
    if (candidate.length > bits)
    {
        return "has a prefix length above " + std::to_string(bits);
    }
    if ((position_of(candidate.address) & host_bits(candidate.length)) != 0)
    {
        return "has address bits set after its prefix length; clear them";
    }
    if (candidate.site > max_site)
    {
        return "has a site above " + std::to_string(max_site);
    }
    if (previous != nullptr && !block_less(*previous, candidate))
    {
        return "is out of order or repeated; sort by block_less() and remove duplicates";
    }
    return std::nullopt;
}

} // namespace

result<ip_address> parse_address(std::string_view text)
{
    const std::string copy(text);
    ip_address parsed;
    parsed.v4 = text.find(':') == std::string_view::npos;
    if (inet_pton(parsed.v4 ? AF_INET : AF_INET6, copy.c_str(), parsed.bytes.data()) != 1)
    {
        return failure(
            errc::invalid_argument,
            "\"" + copy +
                "\" is not an IP address; expected a form like 192.0.2.1 or 2001:db8::1");
    }
    return parsed;
}

result<block> parse_block(std::string_view prefix, site_id site)
{
    const std::size_t slash = prefix.find('/');
    unsigned length = 0;
    const char* end = prefix.data() + prefix.size();
    const bool split = slash != std::string_view::npos;
    const auto read = split ? std::from_chars(prefix.data() + slash + 1, end, length)
                            : std::from_chars_result{end, std::errc::invalid_argument};
    if (read.ec != std::errc() || read.ptr != end || length > 128)
    {
        return failure(errc::invalid_argument, "\"" + std::string(prefix) +
                                                   "\" has no valid length; expected a "
                                                   "form like 192.0.2.0/24");
    }
    const auto address = parse_address(prefix.substr(0, slash));
    if (!address)
    {
        return boost::outcome_v2::failure(address.error());
    }
    const block parsed{address.value(), static_cast<std::uint8_t>(length), site};
    if (const auto problem = problem_of(parsed, nullptr))
    {
        return failure(errc::invalid_argument,
                       "block " + std::string(prefix) + " " + *problem);
    }
    return parsed;
}

bool block_less(const block& left, const block& right)
{
    if (left.address.v4 != right.address.v4)
    {
        return !left.address.v4;
    }
    const int order = std::memcmp(left.address.bytes.data(), right.address.bytes.data(),
                                  left.address.bytes.size());
    return order != 0 ? order < 0 : left.length < right.length;
}

std::string manifest::encode() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const chunk_descriptor& each : this->chunks)
    {
        list.push_back(nlohmann::json{each.v4, each.first, each.digest, each.size});
    }
    const auto bytes =
        nlohmann::json::to_msgpack({{"version", this->version}, {"chunks", list}});
    return {bytes.begin(), bytes.end()};
}

namespace
{

nlohmann::json encode_descriptor(const chunk_descriptor& descriptor)
{
    return {descriptor.v4, descriptor.first, descriptor.digest, descriptor.size};
}

chunk_descriptor decode_descriptor(const nlohmann::json& encoded)
{
    return {.v4 = encoded.at(0).get<bool>(),
            .first = encoded.at(1).get<std::uint64_t>(),
            .digest = encoded.at(2).get<std::uint64_t>(),
            .size = encoded.at(3).get<std::uint32_t>()};
}

bool descriptor_less(const chunk_descriptor& left, const chunk_descriptor& right)
{
    return std::pair(left.v4, left.first) < std::pair(right.v4, right.first);
}

error malformed_manifest(const std::string& problem)
{
    return {make_error_code(errc::invalid_argument),
            "malformed manifest: " + problem + "; fetch the complete manifest again"};
}

} // namespace

result<manifest> manifest::decode(std::string_view bytes)
{
    try
    {
        const auto content = nlohmann::json::from_msgpack(bytes.begin(), bytes.end());
        manifest decoded;
        decoded.version = content.at("version").get<std::uint64_t>();
        for (const auto& each : content.at("chunks"))
        {
            decoded.chunks.push_back(decode_descriptor(each));
        }
        const auto begins_at_zero = [&decoded](bool v4)
        {
            return std::any_of(decoded.chunks.begin(), decoded.chunks.end(),
                               [v4](const chunk_descriptor& each)
                               { return each.v4 == v4 && each.first == 0; });
        };
        if (!std::is_sorted(decoded.chunks.begin(), decoded.chunks.end(),
                            descriptor_less) ||
            !begins_at_zero(true) || !begins_at_zero(false))
        {
            return boost::outcome_v2::failure(
                malformed_manifest("chunks are not sorted or do not begin at address 0"));
        }
        return decoded;
    }
    catch (const nlohmann::json::exception& problem)
    {
        return boost::outcome_v2::failure(malformed_manifest(problem.what()));
    }
}

std::string manifest::encode_change(const manifest& base) const
{
    nlohmann::json removed = nlohmann::json::array();
    nlohmann::json added = nlohmann::json::array();
    const auto has = [](const manifest& in, const chunk_descriptor& descriptor)
    {
        const auto at = std::lower_bound(in.chunks.begin(), in.chunks.end(), descriptor,
                                         descriptor_less);
        return at != in.chunks.end() && *at == descriptor;
    };
    for (const chunk_descriptor& each : base.chunks)
    {
        if (!has(*this, each))
        {
            removed.push_back({each.v4, each.first});
        }
    }
    for (const chunk_descriptor& each : this->chunks)
    {
        if (!has(base, each))
        {
            added.push_back(encode_descriptor(each));
        }
    }
    const auto bytes = nlohmann::json::to_msgpack({{"from", base.version},
                                                   {"version", this->version},
                                                   {"digest", hash_bytes(this->encode())},
                                                   {"removed", removed},
                                                   {"added", added}});
    return {bytes.begin(), bytes.end()};
}

result<manifest> manifest::apply_change(std::string_view bytes) const
{
    try
    {
        const auto content = nlohmann::json::from_msgpack(bytes.begin(), bytes.end());
        if (content.at("from").get<std::uint64_t>() != this->version)
        {
            return failure(errc::stale, "the change starts from another version; "
                                        "fetch the complete manifest");
        }
        std::set<std::pair<bool, std::uint64_t>> removed;
        for (const auto& each : content.at("removed"))
        {
            removed.emplace(each.at(0).get<bool>(), each.at(1).get<std::uint64_t>());
        }
        manifest changed = *this;
        changed.version = content.at("version").get<std::uint64_t>();
        std::erase_if(changed.chunks,
                      [&](const chunk_descriptor& each) {
                          return removed.contains({each.v4, each.first});
                      });
        for (const auto& each : content.at("added"))
        {
            changed.chunks.push_back(decode_descriptor(each));
        }
        std::sort(changed.chunks.begin(), changed.chunks.end(), descriptor_less);
        if (hash_bytes(changed.encode()) != content.at("digest").get<std::uint64_t>())
        {
            return boost::outcome_v2::failure(malformed_manifest(
                "the changed manifest does not have the expected digest"));
        }
        return changed;
    }
    catch (const nlohmann::json::exception& problem)
    {
        return boost::outcome_v2::failure(malformed_manifest(problem.what()));
    }
}

result<block_table> block_table::build(std::span<const block> sorted,
                                       std::uint64_t version, const block_table* earlier,
                                       build_options options)
{
    block_table table;
    table.table_manifest.version = version;
    const std::size_t target_ranges = std::max<std::size_t>(
        sorted.size() / std::max<std::uint32_t>(options.target_chunks, 1), min_ranges);
    std::size_t at = 0;
    for (const bool v4 : {false, true})
    {
        std::vector<std::uint64_t> earlier_borders;
        for (const chunk_descriptor& each : earlier != nullptr
                                                ? earlier->table_manifest.chunks
                                                : std::vector<chunk_descriptor>())
        {
            if (each.v4 == v4 && each.first > 0)
            {
                earlier_borders.push_back(each.first);
            }
        }
        chunk_writer writer(v4, std::move(earlier_borders), target_ranges);
        flattener flattened(writer);
        for (; at < sorted.size() && sorted[at].address.v4 == v4; ++at)
        {
            const block& each = sorted[at];
            if (const auto problem = problem_of(each, at > 0 ? &sorted[at - 1] : nullptr))
            {
                return failure(errc::invalid_argument,
                               "block " + std::to_string(at) + " " + *problem);
            }
            const position first = position_of(each.address);
            flattened.add(first, first | host_bits(each.length), each.site);
        }
        flattened.finish();
        writer.finish();
        for (std::size_t chunk = 0; chunk < writer.descriptors.size(); ++chunk)
        {
            table.table_manifest.chunks.push_back(writer.descriptors[chunk]);
            table.chunks.push_back(
                std::make_shared<const std::string>(std::move(writer.bytes[chunk])));
        }
    }
    if (at < sorted.size())
    {
        return failure(errc::invalid_argument, "block " + std::to_string(at) +
                                                   " is IPv6 after IPv4; sort by "
                                                   "block_less()");
    }
    table.index();
    return table;
}

block_table block_table::from_manifest(manifest target, const block_table* available)
{
    std::map<std::uint64_t, std::shared_ptr<const std::string>> by_digest;
    for (std::size_t at = 0; available != nullptr && at < available->chunks.size(); ++at)
    {
        by_digest[available->table_manifest.chunks[at].digest] = available->chunks[at];
    }
    block_table table;
    table.table_manifest = std::move(target);
    for (const chunk_descriptor& each : table.table_manifest.chunks)
    {
        const auto found = by_digest.find(each.digest);
        const bool usable = found != by_digest.end() && found->second &&
                            internal::valid_chunk(*found->second, each.first);
        table.chunks.push_back(usable ? found->second : nullptr);
    }
    table.index();
    return table;
}

void block_table::index()
{
    this->borders.clear();
    this->data.clear();
    this->first_v4 = 0;
    for (const auto& each : this->chunks)
    {
        this->data.push_back(each ? each->data() : nullptr);
    }
    for (const chunk_descriptor& each : this->table_manifest.chunks)
    {
        this->borders.push_back(each.first);
        this->first_v4 += each.v4 ? 0 : 1;
    }
}

result<bool> block_table::add_chunk(std::string bytes)
{
    const std::uint64_t digest = hash_bytes(bytes);
    const auto shared = std::make_shared<const std::string>(std::move(bytes));
    bool added = false;
    for (std::size_t at = 0; at < this->chunks.size(); ++at)
    {
        const chunk_descriptor& descriptor = this->table_manifest.chunks[at];
        if (descriptor.digest != digest || descriptor.size != shared->size())
        {
            continue;
        }
        if (!internal::valid_chunk(*shared, descriptor.first))
        {
            return failure(errc::invalid_argument,
                           "the chunk is malformed; rebuild the table");
        }
        this->chunks[at] = shared;
        this->data[at] = shared->data();
        added = true;
    }
    if (!added)
    {
        return failure(errc::not_found,
                       "no chunk of this table has this digest; the bytes are damaged or "
                       "of another version; fetch the manifest again");
    }
    return true;
}

std::size_t block_table::chunk_index(const ip_address& address) const
{
    const std::uint64_t upper = upper_of(position_of(address));
    const std::span<const std::uint64_t> all(this->borders);
    return address.v4 ? this->first_v4 +
                            internal::last_border(all.subspan(this->first_v4), upper)
                      : internal::last_border(all.first(this->first_v4), upper);
}

site_answer block_table::find(const ip_address& address) const
{
    if (this->chunks.empty())
    {
        return {.state = site_state::missing};
    }
    const char* chunk = this->data[this->chunk_index(address)];
    if (chunk == nullptr)
    {
        return {.state = site_state::missing};
    }
    const position at = position_of(address);
    const site_id site = internal::find_in_chunk(chunk, upper_of(at), lower_of(at));
    return {site == no_site ? site_state::uncovered : site_state::found, site};
}

std::string_view block_table::chunk_bytes(std::size_t at) const
{
    const auto& chunk = this->chunks.at(at);
    return chunk ? std::string_view(*chunk) : std::string_view();
}

std::vector<std::size_t> block_table::missing_chunks() const
{
    std::vector<std::size_t> indices;
    for (std::size_t at = 0; at < this->chunks.size(); ++at)
    {
        if (!this->chunks[at])
        {
            indices.push_back(at);
        }
    }
    return indices;
}

std::size_t block_table::memory() const
{
    std::size_t sum = this->chunks.size() *
                      (sizeof(chunk_descriptor) + sizeof(std::uint64_t) +
                       sizeof(const char*) + sizeof(std::shared_ptr<const std::string>));
    for (const auto& each : this->chunks)
    {
        sum += each ? each->capacity() + sizeof(std::string) : 0;
    }
    return sum;
}

} // namespace pistachiospan::lookup
