// Simulated store, network and membership for tests and benchmarks.

#ifndef PISTACHIOSPAN_ONCE_INTERNAL_TEST_SUPPORT_HPP
#define PISTACHIOSPAN_ONCE_INTERNAL_TEST_SUPPORT_HPP

#include "pistachiospan/once/once.hpp"

#include <map>

namespace pistachiospan::once::test
{

using namespace std::chrono_literals;

// Simulated clock, which runs events in the order of their times.
struct event_queue
{
    time_point now{1s};
    std::multimap<time_point, std::function<void()>> events;

    void after(duration delay, std::function<void()> action)
    {
        this->events.emplace(this->now + delay, std::move(action));
    }

    void run_until(time_point end)
    {
        while (!this->events.empty() && this->events.begin()->first <= end)
        {
            auto event = this->events.extract(this->events.begin());
            this->now = std::max(this->now, event.key());
            event.mapped()();
        }
        this->now = end;
    }
};

struct faults
{
    double message_loss = 0;
    double message_copy = 0;
    double message_tail = 0; // probability that a message is late, by up to 2 s
    duration message_delay = 2ms;
    bool store_down = false;
    duration store_delay = 4ms;
    double store_lost = 0; // probability that the outcome of a call is unknown
};

struct fake_store
{
    event_queue* clock = nullptr;
    random_engine* random = nullptr;
    faults* fault = nullptr;
    std::map<std::string, store::row> rows;
    std::uint64_t writes = 0;

    bool chance(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(*this->random) < probability;
    }

    store::transaction_outcome commit(const store::conditional_write& write)
    {
        store::row& row = this->rows[write.key];
        row.key = write.key;
        ++this->writes;
        if (row.rev != write.expected)
            return {.committed = false, .rows = {row}};
        row.value = write.value;
        ++row.rev;
        return {.committed = true, .rows = {row}};
    }
};

// Connection of one VM to the store, which fails while `reachable` returns false.
struct fake_table : store::table
{
    fake_store* shared = nullptr;
    std::function<bool()> reachable;

    template <class T>
    void call(store::handler<T> done, std::function<T()> action)
    {
        if (this->shared->fault->store_down || !this->reachable())
        {
            this->shared->clock->after(
                20ms, [done] { done(failure(errc::unavailable, "store is down")); });
            return;
        }
        const duration delay = this->shared->fault->store_delay;
        const bool lost = this->shared->chance(this->shared->fault->store_lost);
        const bool late = lost && this->shared->chance(0.5);
        if (late)
            this->shared->clock->after(20 * delay + 3s, [action] { action(); });
        this->shared->clock->after(
            delay,
            [this, done, action, lost, late, delay]
            {
                if (late)
                    return done(failure(errc::unknown_outcome, "timeout"));
                result<T> answer = action();
                if (lost)
                    answer = failure(errc::unknown_outcome, "lost");
                this->shared->clock->after(delay, [done, answer] { done(answer); });
            });
    }

    void get(std::string key, store::handler<std::optional<store::row>> done) override
    {
        this->call<std::optional<store::row>>(
            std::move(done),
            [this, key]
            {
                const auto found = this->shared->rows.find(key);
                std::optional<store::row> row;
                if (found != this->shared->rows.end() && found->second.rev != 0)
                    row = found->second;
                return row;
            });
    }

    void scan(std::string /*prefix*/,
              store::handler<std::vector<store::row>> done) override
    {
        this->call<std::vector<store::row>>(std::move(done),
                                            [this]
                                            {
                                                std::vector<store::row> found;
                                                for (const auto& [key, row] :
                                                     this->shared->rows)
                                                {
                                                    if (row.rev != 0)
                                                        found.push_back(row);
                                                }
                                                return found;
                                            });
    }

    void transact(std::vector<store::conditional_write> writes,
                  store::handler<store::transaction_outcome> done) override
    {
        this->call<store::transaction_outcome>(std::move(done),
                                               [this, write = writes.front()]
                                               { return this->shared->commit(write); });
    }
};

struct node
{
    vm_id id;
    incarnation process_incarnation = 0;
    std::string data_centre;
    std::string region;
    bool alive = false;
    bool leaving = false;
    time_point paused_until;
    duration clock_offset{0};
    double clock_rate = 1;
    std::unique_ptr<fake_table> table;
    std::unique_ptr<executor> once;
    std::map<std::size_t, time_point> last_heard_at; // last heartbeat of each other VM
    std::map<std::size_t, incarnation> peer_incarnations;
};

struct fleet_options
{
    std::size_t nodes = 5;
    std::size_t centres = 3;
    std::uint64_t seed = 1;
    duration tick = 20ms;
    duration suspect = 3s;
    bool drifting_clocks = false;
    // A peer is reported as live by other VMs this long before its incarnation is known.
    duration incarnation_delay{0};
    options each; // durations and limits of each executor
};

// Several executors with a simulated clock, network and store.
struct fleet
{
    fleet_options opts;
    event_queue clock;
    random_engine random;
    faults fault;
    fake_store rows;
    std::vector<node> nodes;
    std::vector<std::vector<bool>> blocked; // [from][to]
    std::vector<bool> cut_from_store;
    std::uint64_t bytes = 0;
    std::size_t largest = 0; // size of the largest message body
    bool count_bytes = false;

    explicit fleet(fleet_options options) : opts(std::move(options)), random(opts.seed)
    {
        this->rows.clock = &this->clock;
        this->rows.random = &this->random;
        this->rows.fault = &this->fault;
        this->nodes.resize(this->opts.nodes);
        this->blocked.assign(this->opts.nodes, std::vector<bool>(this->opts.nodes));
        this->cut_from_store.assign(this->opts.nodes, false);
        for (std::size_t index = 0; index < this->opts.nodes; ++index)
        {
            node& each = this->nodes[index];
            each.id = {"vm-" + std::to_string(index)};
            each.data_centre = "dc-" + std::to_string(index % this->opts.centres);
            each.region = index % this->opts.centres < 2 ? "east" : "west";
            if (this->opts.drifting_clocks)
            {
                each.clock_offset = duration(this->below(1'000'000'000));
                each.clock_rate =
                    0.996 + 0.008 * static_cast<double>(this->below(100)) / 100;
            }
            this->start(index);
            this->keep_ticking(index);
        }
    }

    std::int64_t below(std::int64_t bound)
    {
        return static_cast<std::int64_t>(this->random() %
                                         static_cast<std::uint64_t>(bound));
    }

    time_point local(std::size_t index) const
    {
        const node& each = this->nodes[index];
        const auto passed =
            static_cast<double>(this->clock.now.time_since_epoch().count());
        return time_point(each.clock_offset +
                          duration(static_cast<std::int64_t>(passed * each.clock_rate)));
    }

    wall_time wall(std::size_t index) const
    {
        return wall_time(this->clock.now.time_since_epoch() + 1000h +
                         std::chrono::milliseconds(100 * index));
    }

    void start(std::size_t index)
    {
        node& each = this->nodes[index];
        each.alive = true;
        each.leaving = false;
        ++each.process_incarnation;
        each.last_heard_at.clear();
        each.table = std::make_unique<fake_table>();
        each.table->shared = &this->rows;
        each.table->reachable = [this, index]
        {
            return !this->cut_from_store[index];
        };
        options settings = this->opts.each;
        settings.self = each.id;
        settings.self_incarnation = each.process_incarnation;
        settings.data_centre = each.data_centre;
        settings.region = each.region;
        settings.secret = "s3cret";
        settings.seed = this->opts.seed;
        each.once = std::make_unique<executor>(
            settings, *each.table,
            hooks{.send = [this, index](const vm_id& to, std::string_view type,
                                        const wire::body& body)
                  {
                      this->send(index, to, std::string(type), body);
                  }});
    }

    // Ends the process. Its table is kept, because answers of the store may be in flight.
    std::vector<std::unique_ptr<fake_table>> stopped_tables;
    void kill(std::size_t index)
    {
        node& each = this->nodes[index];
        each.alive = false;
        each.once.reset();
        this->stopped_tables.push_back(std::move(each.table));
    }

    // Runs `action` on the present process after `delay`: later if it is paused, never if
    // it has ended.
    void on_node(std::size_t index, duration delay, const std::function<void()>& action)
    {
        const incarnation process_incarnation = this->nodes[index].process_incarnation;
        this->clock.after(
            delay,
            [this, index, process_incarnation, action]
            {
                const node& each = this->nodes[index];
                if (!each.alive || each.process_incarnation != process_incarnation)
                    return;
                if (each.paused_until > this->clock.now)
                    return this->on_node(index, each.paused_until - this->clock.now,
                                         action);
                action();
            });
    }

    void send(std::size_t from, const vm_id& to, const std::string& type,
              const wire::body& body)
    {
        const auto target = static_cast<std::size_t>(std::stoul(to.value.substr(3)));
        if (this->count_bytes)
        {
            const std::size_t size = wire::body::to_msgpack(body).size();
            this->bytes += size;
            this->largest = std::max(this->largest, size);
        }
        if (this->blocked[from][target] || this->rows.chance(this->fault.message_loss))
            return;
        const int copies = this->rows.chance(this->fault.message_copy) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
        {
            duration delay = this->fault.message_delay + duration(this->below(2000));
            if (this->rows.chance(this->fault.message_tail))
                delay += duration(this->below(2'000'000));
            this->on_node(target, delay,
                          [this, from, target, type, body]
                          {
                              this->nodes[target].once->receive(
                                  this->local(target), this->nodes[from].id, type, body);
                          });
        }
    }

    // Updates the membership as a heartbeat protocol would: a link is up only if it works
    // in both directions.
    void update_peers(std::size_t index)
    {
        node& self = this->nodes[index];
        std::vector<peer> peers;
        for (std::size_t other = 0; other < this->nodes.size(); ++other)
        {
            node& each = this->nodes[other];
            if (other == index)
                continue;
            const bool linked = each.alive && each.paused_until <= this->clock.now &&
                                !this->blocked[index][other] &&
                                !this->blocked[other][index];
            if (linked)
            {
                self.last_heard_at[other] = this->clock.now;
                self.peer_incarnations[other] = each.process_incarnation;
            }
            const bool live =
                self.last_heard_at.contains(other) &&
                this->clock.now - self.last_heard_at[other] < this->opts.suspect;
            const bool heard_directly =
                this->clock.now.time_since_epoch() >= this->opts.incarnation_delay;
            peers.push_back({.id = each.id,
                             .process_incarnation =
                                 heard_directly ? self.peer_incarnations[other] : 0,
                             .data_centre = each.data_centre,
                             .region = each.region,
                             .live = live,
                             .leaving = each.leaving});
        }
        self.once->update_peers(this->local(index), peers);
    }

    void keep_ticking(std::size_t index)
    {
        this->clock.after(this->opts.tick,
                          [this, index]
                          {
                              this->keep_ticking(index);
                              node& each = this->nodes[index];
                              if (!each.alive || each.paused_until > this->clock.now)
                                  return;
                              if (this->below(4) == 0)
                                  this->update_peers(index);
                              each.once->tick(this->local(index));
                          });
    }

    void run_for(duration time)
    {
        this->clock.run_until(this->clock.now + time);
    }
};

} // namespace pistachiospan::once::test

#endif
