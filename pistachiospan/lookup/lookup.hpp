// Answers "which entry VMs should I use" and "which site serves this client address".
//
// Example:
//
//     answer_weights weights({.seed = 7});
//     weights.update(now, {{.vm = {"vm-1"}, .address = "10.0.0.1:80", .headroom = 0.4}});
//     const std::string body = to_json(weights.answer()).dump();
//
//     const result<block_table> table = block_table::build(sorted_blocks, version);
//     const site_answer found = table.value().find(client_address);

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

// State of one entry VM as the membership and its heartbeat give it.
struct vm_state
{
    vm_id vm;
    std::string address; // ip:port of the caller listener
    double headroom = 1; // free part of its capacity, 0 to 1
    bool draining = false;
};

struct weighted_vm
{
    vm_id vm;
    std::string address;
    double weight = 0; // part of the calls that it should get; the weights sum to 1
};

struct vm_answer
{
    std::vector<weighted_vm> vms; // without VMs of weight 0
    duration ttl{0};
};

// {"vms": [{"vm", "address", "weight"}], "ttl_ms"}.
nlohmann::json to_json(const vm_answer& answer);

struct answer_options
{
    std::uint64_t seed = 1;
    duration ttl = std::chrono::seconds(5);
    double jitter = 0.2;   // the TTL varies by this part in both directions
    double max_step = 0.1; // part of the total weight that may move in one longest TTL
    double gain = 0.5;     // part of the difference to the target that one update moves
    // Weights below this headroom fall no further, so that a VM that reports none is
    // still tried.
    double min_headroom = 0.02;
};

// Damped weights. Callers keep an answer for up to the longest TTL, so the load follows
// the weights of that past time; in each such window the weights move by at most
// `max_step` of the total. A VM that drains or is gone falls to 0 at once, its weight
// goes to the others in proportion to theirs, and the move counts: other moves wait until
// the window has passed. A new VM begins at 0 and grows by steps.
class answer_weights
{
public:
    explicit answer_weights(answer_options options);

    // All VMs of the view. Those that are missing are gone.
    void update(time_point now, const std::vector<vm_state>& vms);

    // When every VM drains, the answer holds the draining ones: they still serve.
    vm_answer answer();

    // Weight that moved in the window before `now`.
    double moved_weight(time_point now) const;

private:
    struct entry
    {
        std::string address;
        double headroom = 1;
        bool draining = false;
        double weight = 0;
    };

    void force_out(time_point now, const std::vector<vm_state>& vms);
    void move_to_targets(time_point now);
    void record(time_point now, double amount);
    duration window() const;

    answer_options options;
    random_engine random;
    std::map<vm_id, entry> entries;
    std::deque<std::pair<time_point, double>> moves;
    std::optional<time_point> last_update;
};

// --- Client blocks ---

using site_id = std::uint16_t;
inline constexpr site_id no_site = 0xffff;  // no block covers the address
inline constexpr site_id max_site = 0xfffd; // 0xfffe is used inside the table

// An IPv4 or IPv6 address. IPv4 uses the first 4 bytes.
struct ip_address
{
    bool v4 = true;
    std::array<std::uint8_t, 16> bytes{};
    auto operator<=>(const ip_address&) const = default;
};

result<ip_address> parse_address(std::string_view text);

// An address block. Bits of the address after `length` are 0.
struct block
{
    ip_address address;
    std::uint8_t length = 0; // bits: 0 to 32 or 0 to 128
    site_id site = 0;
};

// "192.0.2.0/24 17" in text form is read by parse_block("192.0.2.0/24", 17).
result<block> parse_block(std::string_view prefix, site_id site);

// Order of the input of block_table::build(): IPv6 before IPv4, address, length.
bool block_less(const block& left, const block& right);

// Arithmetic at 3.3 million blocks (measured by bench/lookup_bench, 20% IPv6): 5,794
// chunks of 3.3 KB, 19.1 MB in all. At 2 KB/s the whole table takes 9,540 s, so an empty
// VM fetches it from the object store, and from peers only the chunks that its callers
// ask for, 1.6 s each. An edit sends its chunk and a change of the manifest (about 90
// bytes); the whole manifest (133 KB, 67 s) comes from the object store.

// Name of a chunk's content. A chunk covers the addresses from `first` (the upper 64
// bits) to the next chunk of its family.
struct chunk_descriptor
{
    bool v4 = true;
    std::uint64_t first = 0;
    std::uint64_t digest = 0; // of the bytes
    std::uint32_t size = 0;   // bytes
    bool operator==(const chunk_descriptor&) const = default;
};

// What a VM needs to know to fetch a table in parts.
struct manifest
{
    std::uint64_t version = 0;
    std::vector<chunk_descriptor> chunks; // in the order of family and address

    std::string encode() const; // MessagePack
    static result<manifest> decode(std::string_view bytes);

    // The difference from an earlier manifest, for VMs that hold that one.
    std::string encode_change(const manifest& from) const;
    // Errors: stale (the change is from another version), invalid_argument (damaged).
    result<manifest> apply_change(std::string_view bytes) const;
};

enum class site_state
{
    found,
    uncovered, // no block holds the address
    missing,   // the chunk of the address has not arrived yet
};

struct site_answer
{
    site_state state = site_state::uncovered;
    site_id site = no_site;
    bool operator==(const site_answer&) const = default;
};

struct build_options
{
    std::uint32_t target_chunks = 4096; // aimed at when no earlier table sets the borders
};

// Immutable map from addresses to the site of the longest block that holds them. Nested
// blocks are flattened to disjoint ranges. Tables share the chunks that they have in
// common. Within a chunk, a range takes 2 bytes for its site and 2, 4 or 8 bytes for its
// start relative to the chunk.
class block_table
{
public:
    // Builds from blocks in the order of block_less() in one pass. Borders of the chunks
    // are kept from `earlier`, so that an edit changes only the chunks that it touches.
    // Errors (invalid_argument) name the position of the first bad block.
    static result<block_table> build(std::span<const block> sorted, std::uint64_t version,
                                     const block_table* earlier = nullptr,
                                     build_options options = {});

    // A table with all chunks missing, except those that `held` has in common with it.
    static block_table from_manifest(manifest wanted, const block_table* held = nullptr);

    // Gives the bytes of a missing chunk. Errors: not_found (no chunk of this table has
    // this digest), invalid_argument (damaged). Not for tables that are shared.
    result<bool> add_chunk(std::string bytes);

    site_answer find(const ip_address& address) const;

    const manifest& get_manifest() const
    {
        return this->table_manifest;
    }
    // Bytes of chunk `at` of the manifest; empty when missing.
    std::string_view chunk_bytes(std::size_t at) const;
    std::vector<std::size_t> missing_chunks() const;
    // Index of the chunk that holds the address.
    std::size_t chunk_index(const ip_address& address) const;
    // Bytes of chunks and index.
    std::size_t memory() const;

private:
    void index();

    manifest table_manifest;
    std::vector<std::shared_ptr<const std::string>> chunks; // in the manifest's order
    std::size_t first_v4 = 0;           // chunks before this one are IPv6
    std::vector<std::uint64_t> borders; // `first` of each chunk
    std::vector<const char*> data;      // bytes of each chunk, null: missing
};

struct fetch_options
{
    double bytes_per_second = 1024; // half of the control budget of 2 KB/s
    std::uint32_t burst = 16384;    // bytes
};

// Orders the fetches of missing chunks within a budget. Chunks that callers ask for come
// first. A VM that can reach the object store fetches from there without this budget.
class chunk_fetcher
{
public:
    explicit chunk_fetcher(fetch_options options) : options(options) {}

    // A caller's address was in this missing chunk.
    void prioritize(std::size_t chunk);
    // The next chunk to request from a peer now, if the budget allows one.
    std::optional<std::size_t> next(time_point now, const block_table& table);
    // The request failed or its answer was lost; it may be made again.
    void mark_failed(std::size_t chunk);

private:
    fetch_options options;
    std::deque<std::size_t> wanted;
    std::map<std::size_t, time_point> requested;
    double tokens = 0;
    std::optional<time_point> refilled;
};

} // namespace pistachiospan::lookup

#endif
