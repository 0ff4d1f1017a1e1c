// Look-ups: the entry VMs that a caller should use, with weights, and the site that
// serves a client address.
//
// Example:
//
//     answer_weights weights({.seed = 7});
//     weights.update(now, {{.vm = {"vm-1"}, .address = "10.0.0.1:80", .headroom = 0.4}});
//     const std::string body = to_json(weights.answer()).dump();
//
//     const result<block_table> table = block_table::build(sorted_blocks, version);
//     const site_answer site = table.value().find(client_address);

#ifndef PISTACHIOSPAN_LOOKUP_LOOKUP_HPP
#define PISTACHIOSPAN_LOOKUP_LOOKUP_HPP

#include "pistachiospan/base/base.hpp"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace pistachiospan::lookup
{

// --- Entry VMs ---

// State of one entry VM, from the membership protocol and its heartbeat.
struct vm_state
{
    vm_id vm;
    std::string address; // ip:port of the listener for callers
    double headroom = 1; // free fraction of its capacity, 0 to 1
    bool draining = false;
};

struct weighted_vm
{
    vm_id vm;
    std::string address;
    double weight = 0; // fraction of the calls that it should receive; the sum is 1
};

struct vm_answer
{
    std::vector<weighted_vm> vms; // without VMs of weight 0
    duration ttl{0};
};

// Writes {"vms": [{"vm", "address", "weight"}], "ttl_ms"}.
nlohmann::json to_json(const vm_answer& answer);

struct answer_options
{
    std::uint64_t seed = 1;
    duration ttl = std::chrono::seconds(5);
    double jitter = 0.2; // the TTL varies by up to this fraction in both directions
    // Fraction of the total weight that may move within the longest TTL.
    double max_step = 0.1;
    double gain = 0.5; // fraction of the difference to the targets that moves in one TTL
    // Lower headroom counts as this value, so that a VM without headroom still receives
    // some calls.
    double min_headroom = 0.02;
};

// Computes weights from headroom, with damping. Callers cache an answer for up to the
// longest TTL, so the load follows the weights with that delay. Therefore the weights
// move by at most `max_step` of the total in each window of that length. The weight of a
// VM that drains or is no longer listed falls to 0 immediately and is distributed to the
// others in proportion to their weights. That move counts towards the limit, so further
// moves wait until the window has passed. The weight of a new VM begins at 0 and grows
// step by step.
class answer_weights
{
public:
    explicit answer_weights(answer_options options);

    // `vms` is the complete list of entry VMs; VMs that are not in it are removed.
    void update(time_point now, const std::vector<vm_state>& vms);

    // If all VMs are draining, the answer contains them, since they still serve.
    vm_answer answer();

    // Total weight that moved in the window of the longest TTL before `now`.
    double moved_weight(time_point now) const;

private:
    struct entry
    {
        std::string address;
        double headroom = 1;
        bool draining = false;
        double weight = 0;
    };

    void remove_draining_and_unlisted(time_point now, const std::vector<vm_state>& vms);
    void move_to_targets(time_point now);
    void record_move(time_point now, double amount);
    duration window() const;

    answer_options options;
    random_engine random;
    std::map<vm_id, entry> entries;
    std::deque<std::pair<time_point, double>> moves;
    std::optional<time_point> last_update;
};

// --- Client blocks ---

using site_id = std::uint16_t;
inline constexpr site_id no_site = 0xffff;  // no block contains the address
inline constexpr site_id max_site = 0xfffd; // 0xfffe is reserved for the table

// An IPv4 or IPv6 address. IPv4 uses the first 4 bytes.
struct ip_address
{
    bool v4 = true;
    std::array<std::uint8_t, 16> bytes{};
    auto operator<=>(const ip_address&) const = default;
};

result<ip_address> parse_address(std::string_view text);

// An address block (prefix). Bits of the address after `length` must be 0.
struct block
{
    ip_address address;
    std::uint8_t length = 0; // bits: 0 to 32 or 0 to 128
    site_id site = 0;
};

// Parses a prefix, for example parse_block("192.0.2.0/24", 17). Errors: invalid_argument.
result<block> parse_block(std::string_view prefix, site_id site);

// Order that block_table::build() requires: IPv6 before IPv4, then address, then length.
bool block_less(const block& left, const block& right);

// A table is distributed in chunks. Sizes with 3.3 million blocks, 20% of them IPv6 (from
// bench/lookup_bench): 5,794 chunks of 3.3 KB, 19.1 MB in total. At the control budget of
// 2 KB/s the complete table would take 9,540 s. Therefore a VM without a table fetches it
// from the object store, and from peers only the chunks that its callers need, in 1.6 s
// each. An edit sends the changed chunk and a change of the manifest (about 90 bytes).
// The complete manifest (133 KB, 67 s) is fetched from the object store.

// Identifies the content of a chunk. A chunk covers the addresses from `first` (the upper
// 64 bits) to the start of the next chunk of the same address family.
struct chunk_descriptor
{
    bool v4 = true;
    std::uint64_t first = 0;
    std::uint64_t digest = 0; // hash_bytes() of the encoded chunk
    std::uint32_t size = 0;   // bytes
    bool operator==(const chunk_descriptor&) const = default;
};

// List of the chunks of a table, which a VM needs to fetch the table chunk by chunk.
struct manifest
{
    std::uint64_t version = 0;
    std::vector<chunk_descriptor> chunks; // sorted by family, IPv6 first, and address

    std::string encode() const; // MessagePack
    static result<manifest> decode(std::string_view bytes);

    // Encodes the difference from an earlier manifest, for VMs that have that one.
    std::string encode_change(const manifest& base) const;
    // Applies the result of encode_change(). Errors: stale (the change starts from
    // another version), invalid_argument (malformed, or the result has another digest).
    result<manifest> apply_change(std::string_view bytes) const;
};

enum class site_state
{
    found,
    uncovered, // no block contains the address
    missing,   // the chunk that covers the address has not been added yet
};

struct site_answer
{
    site_state state = site_state::uncovered;
    site_id site = no_site;
    bool operator==(const site_answer&) const = default;
};

struct build_options
{
    std::uint32_t target_chunks = 4096; // approximate, when there is no earlier table
};

// Maps addresses to the site of the longest block that contains them. Only add_chunk()
// changes a table. Nested blocks are flattened to disjoint ranges. Tables share the
// chunks that they have in common. Within a chunk, a range takes 2 bytes for its site and
// 2, 4 or 8 bytes for its start relative to the start of the chunk.
class block_table
{
public:
    // Builds a table in one pass from blocks in the order of block_less(). Chunks begin
    // where those of `earlier` begin, so that an edit changes only the chunks that it
    // touches. Errors: invalid_argument, with the index of the first invalid block.
    static result<block_table> build(std::span<const block> sorted, std::uint64_t version,
                                     const block_table* earlier = nullptr,
                                     build_options options = {});

    // Makes a table without chunks, except those that it has in common with `available`.
    static block_table from_manifest(manifest target,
                                     const block_table* available = nullptr);

    // Adds the bytes of a missing chunk. Errors: not_found (no chunk of this table has
    // this digest and size), invalid_argument (malformed). Not safe while other threads
    // use the table.
    result<bool> add_chunk(std::string bytes);

    site_answer find(const ip_address& address) const;

    const manifest& get_manifest() const
    {
        return this->table_manifest;
    }
    // Bytes of chunk `at` of the manifest; empty if the chunk is missing.
    std::string_view chunk_bytes(std::size_t at) const;
    std::vector<std::size_t> missing_chunks() const;
    // Index in the manifest of the chunk that covers the address.
    std::size_t chunk_index(const ip_address& address) const;
    // Bytes in memory of the chunks and the index.
    std::size_t memory() const;

private:
    void index();

    manifest table_manifest;
    std::vector<std::shared_ptr<const std::string>>
        chunks;                         // in the order of the manifest
    std::size_t first_v4 = 0;           // index of the first IPv4 chunk
    std::vector<std::uint64_t> borders; // first of each chunk, upper 64 bits
    std::vector<const char*> data;      // bytes of each chunk; null: missing
};

struct fetch_options
{
    double bytes_per_second = 1024; // half of the control budget of 2 KB/s
    std::uint32_t burst = 16384;    // bytes
};

// Schedules the fetches of missing chunks from peers within a bandwidth budget. Chunks
// that callers need come first. A VM that can reach the object store fetches from there,
// without this budget.
class chunk_fetcher
{
public:
    explicit chunk_fetcher(fetch_options options) : options(options) {}

    // Fetches this missing chunk before others, because a caller looked up an address in
    // it.
    void prioritize(std::size_t chunk);
    // Returns the chunk to request from a peer now, if the budget allows one.
    std::optional<std::size_t> next(time_point now, const block_table& table);
    // Allows another request of the chunk at once, after a request has failed.
    void mark_failed(std::size_t chunk);

private:
    fetch_options options;
    std::deque<std::size_t> prioritized;
    std::map<std::size_t, time_point> requested_at;
    double tokens = 0;
    std::optional<time_point> refilled_at;
};

} // namespace pistachiospan::lookup

#endif
