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

// An address as a number. IPv4 is in the upper 32 bits.
using position = unsigned __int128;

constexpr std::uint32_t least_ranges = 64; // of a chunk that is cut by size

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

// Bits after the first `length`.
position host_bits(unsigned length)
{
    return length >= 128 ? 0 : ~position{0} >> length;
}

// Receives the starts of ranges in rising order and cuts them into chunks.
class chunk_writer
{
public:
    chunk_writer(bool v4, std::vector<std::uint64_t> kept, std::size_t target)
        : v4(v4), kept(std::move(kept)), target(target)
    {
        this->open(0);
    }

    void add(position at, site_id site)
    {
        const std::uint64_t upper = upper_of(at);
        while (this->next_kept < this->kept.size() &&
               this->kept[this->next_kept] <= upper)
        {
            this->cut(this->kept[this->next_kept]);
        }
        const std::size_t most = this->kept.empty() ? this->target : 2 * this->target;
        const bool starts = lower_of(at) == 0;
        if (starts && this->ranges.size() >= most && upper > this->ranges.back().upper)
        {
            this->cut(upper);
        }
        starts ? this->add_range(upper, site) : this->add_detail(at, site);
        this->site = site;
    }

    void finish()
    {
        while (this->next_kept < this->kept.size())
        {
            this->cut(this->kept[this->next_kept]);
        }
        this->close();
    }

    std::vector<chunk_descriptor> names;
    std::vector<std::string> bytes;

private:
    void open(std::uint64_t first)
    {
        this->first = first;
        this->ranges.assign(1, {first, this->site});
        this->details.clear();
        while (this->next_kept < this->kept.size() &&
               this->kept[this->next_kept] <= first)
        {
            this->next_kept += 1;
        }
    }

    void close()
    {
        this->bytes.push_back(
            internal::encode_chunk(this->first, this->ranges, this->details));
        const std::string& made = this->bytes.back();
        this->names.push_back({.v4 = this->v4,
                               .first = this->first,
                               .digest = hash_bytes(made),
                               .size = static_cast<std::uint32_t>(made.size())});
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

    // After a divided value of the upper bits, the ranges go on with the next value.
    void end_details(std::uint64_t next_upper)
    {
        range& last = this->ranges.back();
        if (last.site == detailed_site && last.upper + 1 < next_upper)
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
    std::vector<std::uint64_t> kept; // borders of an earlier table
    std::size_t next_kept = 0;
    std::size_t target;
    std::uint64_t first = 0;
    site_id site = no_site; // that holds at the end of the ranges so far
    std::vector<range> ranges;
    std::vector<detail> details;
};

// Turns nested blocks in rising order into starts of disjoint ranges.
class flattener
{
public:
    explicit flattener(chunk_writer& to) : to(to) {}

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

    // A later start at the same position replaces the pending one.
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
            this->to.add(this->pending, this->pending_site);
            this->written_site = this->pending_site;
        }
        this->has_pending = false;
    }

    chunk_writer& to;
    std::vector<open_block> open; // innermost last
    position pending = 0;
    site_id pending_site = no_site;
    site_id written_site = no_site;
    bool has_pending = false;
};

std::optional<std::string> problem_of(const block& checked, const block* before)
{
    const unsigned bits = checked.address.v4 ? 32 : 128;
    if (checked.length > bits)
    {
        return "has a length above " + std::to_string(bits);
    }
    if ((position_of(checked.address) & host_bits(checked.length)) != 0)
    {
        return "has address bits after its length; clear them";
    }
    if (checked.site > max_site)
    {
        return "has a site above " + std::to_string(max_site);
    }
    if (before != nullptr && !block_less(*before, checked))
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
        return failure(errc::invalid_argument,
                       "\"" + copy + "\" is no address; write 192.0.2.1 or 2001:db8::1");
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
                                                   "\" has no length; write a block as "
                                                   "192.0.2.0/24");
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

nlohmann::json encode_name(const chunk_descriptor& name)
{
    return {name.v4, name.first, name.digest, name.size};
}

chunk_descriptor decode_name(const nlohmann::json& encoded)
{
    return {.v4 = encoded.at(0).get<bool>(),
            .first = encoded.at(1).get<std::uint64_t>(),
            .digest = encoded.at(2).get<std::uint64_t>(),
            .size = encoded.at(3).get<std::uint32_t>()};
}

bool name_less(const chunk_descriptor& left, const chunk_descriptor& right)
{
    return std::pair(left.v4, left.first) < std::pair(right.v4, right.first);
}

error malformed_manifest(const std::string& problem)
{
    return {make_error_code(errc::invalid_argument),
            "malformed manifest: " + problem + "; fetch the whole manifest again"};
}

} // namespace

result<manifest> manifest::decode(std::string_view bytes)
{
    try
    {
        const auto content = nlohmann::json::from_msgpack(bytes.begin(), bytes.end());
        manifest made;
        made.version = content.at("version").get<std::uint64_t>();
        for (const auto& each : content.at("chunks"))
        {
            made.chunks.push_back(decode_name(each));
        }
        const auto starts = [&made](bool v4)
        {
            return std::any_of(made.chunks.begin(), made.chunks.end(),
                               [v4](const chunk_descriptor& each)
                               { return each.v4 == v4 && each.first == 0; });
        };
        if (!std::is_sorted(made.chunks.begin(), made.chunks.end(), name_less) ||
            !starts(true) || !starts(false))
        {
            return boost::outcome_v2::failure(malformed_manifest(
                "chunks are out of order or do not begin at address 0"));
        }
        return made;
    }
    catch (const nlohmann::json::exception& problem)
    {
        return boost::outcome_v2::failure(malformed_manifest(problem.what()));
    }
}

std::string manifest::encode_change(const manifest& from) const
{
    nlohmann::json removed = nlohmann::json::array();
    nlohmann::json added = nlohmann::json::array();
    const auto has = [](const manifest& in, const chunk_descriptor& name)
    {
        const auto at =
            std::lower_bound(in.chunks.begin(), in.chunks.end(), name, name_less);
        return at != in.chunks.end() && *at == name;
    };
    for (const chunk_descriptor& each : from.chunks)
    {
        if (!has(*this, each))
        {
            removed.push_back({each.v4, each.first});
        }
    }
    for (const chunk_descriptor& each : this->chunks)
    {
        if (!has(from, each))
        {
            added.push_back(encode_name(each));
        }
    }
    const auto bytes = nlohmann::json::to_msgpack({{"from", from.version},
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
            return failure(errc::stale, "the change is not from the held manifest; "
                                        "fetch the whole manifest");
        }
        std::set<std::pair<bool, std::uint64_t>> removed;
        for (const auto& each : content.at("removed"))
        {
            removed.emplace(each.at(0).get<bool>(), each.at(1).get<std::uint64_t>());
        }
        manifest made = *this;
        made.version = content.at("version").get<std::uint64_t>();
        std::erase_if(made.chunks,
                      [&](const chunk_descriptor& each) {
                          return removed.contains({each.v4, each.first});
                      });
        for (const auto& each : content.at("added"))
        {
            made.chunks.push_back(decode_name(each));
        }
        std::sort(made.chunks.begin(), made.chunks.end(), name_less);
        if (hash_bytes(made.encode()) != content.at("digest").get<std::uint64_t>())
        {
            return boost::outcome_v2::failure(
                malformed_manifest("the change gives another digest"));
        }
        return made;
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
    block_table made;
    made.table_manifest.version = version;
    const std::size_t target = std::max<std::size_t>(
        sorted.size() / std::max<std::uint32_t>(options.target_chunks, 1), least_ranges);
    std::size_t at = 0;
    for (const bool v4 : {false, true})
    {
        std::vector<std::uint64_t> kept;
        for (const chunk_descriptor& each : earlier != nullptr
                                                ? earlier->table_manifest.chunks
                                                : std::vector<chunk_descriptor>())
        {
            if (each.v4 == v4 && each.first > 0)
            {
                kept.push_back(each.first);
            }
        }
        chunk_writer writer(v4, std::move(kept), target);
        flattener flat(writer);
        for (; at < sorted.size() && sorted[at].address.v4 == v4; ++at)
        {
            const block& each = sorted[at];
            if (const auto problem = problem_of(each, at > 0 ? &sorted[at - 1] : nullptr))
            {
                return failure(errc::invalid_argument,
                               "block " + std::to_string(at) + " " + *problem);
            }
            const position first = position_of(each.address);
            flat.add(first, first | host_bits(each.length), each.site);
        }
        flat.finish();
        writer.finish();
        for (std::size_t chunk = 0; chunk < writer.names.size(); ++chunk)
        {
            made.table_manifest.chunks.push_back(writer.names[chunk]);
            made.chunks.push_back(
                std::make_shared<const std::string>(std::move(writer.bytes[chunk])));
        }
    }
    if (at < sorted.size())
    {
        return failure(errc::invalid_argument, "block " + std::to_string(at) +
                                                   " is IPv6 after IPv4; sort by "
                                                   "block_less()");
    }
    made.index();
    return made;
}

block_table block_table::from_manifest(manifest wanted, const block_table* held)
{
    std::map<std::uint64_t, std::shared_ptr<const std::string>> by_digest;
    for (std::size_t at = 0; held != nullptr && at < held->chunks.size(); ++at)
    {
        by_digest[held->table_manifest.chunks[at].digest] = held->chunks[at];
    }
    block_table made;
    made.table_manifest = std::move(wanted);
    for (const chunk_descriptor& each : made.table_manifest.chunks)
    {
        const auto found = by_digest.find(each.digest);
        const bool usable = found != by_digest.end() && found->second &&
                            internal::valid_chunk(*found->second, each.first);
        made.chunks.push_back(usable ? found->second : nullptr);
    }
    made.index();
    return made;
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
        const chunk_descriptor& name = this->table_manifest.chunks[at];
        if (name.digest != digest || name.size != shared->size())
        {
            continue;
        }
        if (!internal::valid_chunk(*shared, name.first))
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
                       "no chunk of this table has this content; it is damaged or of "
                       "another version: fetch the manifest again");
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
