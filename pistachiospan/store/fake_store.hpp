// In-memory platform for tests: table, object store and VM list on a simulated clock.
//
// Example:
//
//     fake_platform platform({.seed = 1});
//     fake_store store(platform); // one per VM of the test
//     table& rows = store;
//     rows.transact({{.key = "a", .expected = 0, .value = "1"}}, done);
//     platform.advance(start + std::chrono::seconds(1)); // calls done
//     store.link.lose_answers = 1; // the next write takes effect, its response is lost
//     platform.service.refuse = true; // outage for all VMs
//
// Nothing happens outside advance(). Equal seeds and equal calls give equal results.

#ifndef PISTACHIOSPAN_STORE_FAKE_STORE_HPP
#define PISTACHIOSPAN_STORE_FAKE_STORE_HPP

#include "pistachiospan/store/store.hpp"

#include <map>
#include <memory>

namespace pistachiospan::store::testing
{

// Rows and objects, without a clock or faults.
class memory_store
{
public:
    std::optional<row> get(const std::string& key) const;
    std::vector<row> scan(const std::string& prefix) const;
    // Errors: invalid_argument if two writes name the same key.
    result<transaction_outcome> transact(const std::vector<conditional_write>& writes);

    void put_object(const std::string& name, std::string bytes);
    // Errors: not_found.
    result<std::string> get_object(const std::string& name) const;

private:
    row current(const std::string& key) const;

    std::map<std::string, row> rows;
    std::map<std::string, std::string> objects;
    // Shared by all rows, so that a removed and re-created row also gets a higher
    // revision.
    revision last_revision = 0;
};

// Time for which the history of a VM list is kept.
inline constexpr duration max_vm_list_lag = std::chrono::hours(1);

// The list of VMs with its history, so that it can be read with a lag.
class memory_vm_list
{
public:
    // Replaces the list, from `now` on.
    void set(time_point now, std::vector<vm_entry> entries);
    // Adds the VM, or replaces the entry with the same id.
    void add(time_point now, vm_entry entry);
    // Errors: not_found.
    result<bool> mark_leaving(time_point now, const vm_id& id, bool leaving = true);
    void remove(time_point now, const vm_id& id);

    // The list as it was `lag` before `now`; `lag` is at most max_vm_list_lag.
    std::vector<vm_entry> list(time_point now, duration lag) const;

private:
    std::vector<vm_entry> latest_entries() const;

    std::map<time_point, std::vector<vm_entry>> history;
};

// Faults to inject into calls. They may be changed at any time; `refuse` and `silent`
// apply both when the request arrives and when its response leaves.
struct faults
{
    duration latency = std::chrono::milliseconds(2); // request and response together
    duration jitter = duration::zero(); // uniformly distributed addition, at most this
    bool refuse = false;                // outage: connections are refused or cut at once
    bool silent = false;                // outage: requests and responses are lost
    bool overloaded = false;            // limit_exceeded, nothing is written
    std::uint32_t lose_requests = 0; // the next n writes are lost before they take effect
    std::uint32_t lose_answers = 0;  // the next n writes take effect without a response
};

// Calls that reached the platform.
struct call_counts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
};

struct fake_platform_options
{
    std::uint64_t seed = 1;
    time_point start;
};

// The platform: its state, the simulated clock, and faults that affect all VMs
// (`service`).
class fake_platform
{
public:
    explicit fake_platform(fake_platform_options options = {});

    // Advances the clock to `now` and runs the events that are due, in order. Handlers
    // may make further calls.
    void advance(time_point now);
    // Time of the next event, or nullopt if none is pending.
    std::optional<time_point> next_event() const;

    time_point now() const
    {
        return this->clock;
    }

    memory_store data;
    memory_vm_list vms;
    faults service = {.latency = duration::zero()};
    duration vm_list_lag = duration::zero();
    call_counts counts;

private:
    friend class fake_store;
    void schedule(time_point when, std::function<void()> action);

    time_point clock;
    random_engine random;
    std::multimap<time_point, std::function<void()>> events;
};

// One VM's access to the platform. As after the end of a process, no handler is called
// once it is destroyed, but pending writes still take effect. Calls without a response
// within `timeout` end with unavailable (reads) or unknown_outcome (writes).
class fake_store : public table, public object_store, public vm_list
{
public:
    explicit fake_store(fake_platform& platform);
    ~fake_store() override;
    fake_store(const fake_store&) = delete;
    fake_store& operator=(const fake_store&) = delete;

    void get(std::string key, handler<std::optional<row>> done) override;
    void scan(std::string prefix, handler<std::vector<row>> done) override;
    void transact(std::vector<conditional_write> writes,
                  handler<transaction_outcome> done) override;
    void put(std::string name, std::string bytes, handler<bool> done) override;
    void get(std::string name, handler<std::string> done) override;
    void list(handler<std::vector<vm_entry>> done) override;

    faults link; // faults between this VM and the platform, on top of platform.service
    duration timeout = std::chrono::seconds(1);

private:
    template <class T>
    struct call;
    enum class kind
    {
        read,
        write,
    };

    template <class T>
    void start(kind type, std::function<result<T>()> effect, handler<T> done);
    template <class T>
    static void arrive(const std::shared_ptr<call<T>>& pending);
    duration draw_latency();

    // Owned by this object alone: pending calls hold weak references to detect that it
    // has been destroyed.
    std::shared_ptr<fake_store*> self;
    fake_platform& platform;
};

} // namespace pistachiospan::store::testing

#endif
