#include "pistachiospan/share/share.hpp"

#include <boost/test/unit_test.hpp>

#include <queue>

using namespace pistachiospan;
using namespace pistachiospan::share;

namespace
{

constexpr duration ms = std::chrono::milliseconds(1);
constexpr duration second = std::chrono::seconds(1);

// In-memory table that simulates outages, lost answers and writes that take effect late.
class fake_table : public store::table
{
public:
    std::map<std::string, store::row> rows;
    std::function<void(duration, std::function<void()>)> schedule;
    random_engine* engine = nullptr;
    bool down = false;
    double lost_answers = 0;
    std::uint64_t writes = 0;

    void get(std::string, store::handler<std::optional<store::row>>) override {}

    void scan(std::string prefix, store::handler<std::vector<store::row>> done) override
    {
        this->schedule(this->delay(),
                       [this, prefix, done]
                       {
                           if (this->down)
                               return done(failure(errc::unavailable, "down"));
                           std::vector<store::row> found;
                           for (const auto& [key, row] : this->rows)
                               if (key.starts_with(prefix))
                                   found.push_back(row);
                           this->schedule(this->delay(), [found, done] { done(found); });
                       });
    }

    void transact(std::vector<store::conditional_write> writes_in,
                  store::handler<store::transaction_outcome> done) override
    {
        const bool lost = this->chance(this->lost_answers);
        // A write whose answer is lost may take effect after the caller has timed out.
        const duration effect_delay =
            lost && this->chance(0.5) ? 3 * second : this->delay();
        if (lost)
            this->schedule(second,
                           [done] { done(failure(errc::unknown_outcome, "lost")); });
        this->schedule(effect_delay,
                       [this, writes_in, done, lost]
                       {
                           if (this->down)
                           {
                               if (!lost)
                                   done(failure(errc::unavailable, "down"));
                               return;
                           }
                           const auto outcome = this->commit(writes_in);
                           if (!lost)
                               this->schedule(this->delay(),
                                              [done, outcome] { done(outcome); });
                       });
    }

private:
    store::revision next = 1;

    bool chance(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(*this->engine) < probability;
    }

    duration delay()
    {
        return duration(1000 + (*this->engine)() % 20000);
    }

    store::transaction_outcome commit(const std::vector<store::conditional_write>& all)
    {
        ++this->writes;
        store::transaction_outcome outcome{.committed = true};
        for (const auto& write : all)
            if (const auto row = this->rows.find(write.key);
                (row == this->rows.end() ? 0 : row->second.rev) != write.expected)
                outcome.committed = false;
        for (const auto& write : all)
        {
            if (!outcome.committed)
                break;
            if (write.remove)
                this->rows.erase(write.key);
            else
                this->rows[write.key] = {write.key, write.value, this->next++};
            outcome.rows.push_back(write.remove ? store::row{.key = write.key}
                                                : this->rows[write.key]);
        }
        return outcome;
    }
};

// Simulates claimers with a store and a delayed VM list. Counts a violation if at any
// tick a share is used by two processes, or without an idle period between two users.
struct simulation
{
    struct vm
    {
        std::unique_ptr<share_claimer> claimer;
        std::uint64_t started = 0;
        std::uint64_t generation = 0;
        time_point paused_until;
        time_point listed_until = time_point::max();
    };
    struct event
    {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const event& other) const
        {
            return std::pair(this->at, this->order) > std::pair(other.at, other.order);
        }
    };
    struct use
    {
        std::string user;
        time_point last;
    };

    random_engine engine;
    fake_table table;
    std::vector<vm> vms;
    std::uint32_t shares;
    std::priority_queue<event> events;
    std::uint64_t order = 0;
    time_point clock = time_point(std::chrono::hours(1));
    std::map<std::uint32_t, use> uses;
    std::uint64_t violations = 0;
    std::set<std::uint32_t> isolated; // VMs whose messages to and from peers are lost
    duration idle_time = claimer_options{}.idle_time;

    simulation(std::uint64_t seed, std::uint32_t vm_count, std::uint32_t share_count)
        : engine(seed), vms(vm_count), shares(share_count)
    {
        this->table.engine = &this->engine;
        this->table.schedule = [this](duration delay, std::function<void()> run)
        {
            this->schedule(delay, std::move(run));
        };
        for (std::uint32_t index = 0; index < vm_count; ++index)
            this->start(index);
    }

    void schedule(duration delay, std::function<void()> run)
    {
        this->events.push({this->clock + delay, this->order++, std::move(run)});
    }

    void run_for(duration length)
    {
        const time_point end = this->clock + length;
        while (!this->events.empty() && this->events.top().at <= end)
        {
            const event next = this->events.top();
            this->events.pop();
            this->clock = next.at;
            next.run();
        }
        this->clock = end;
    }

    static vm_id name(std::uint32_t index)
    {
        return {"vm-" + std::to_string(index)};
    }

    time_point local_time(std::uint32_t index) const
    {
        return this->clock + std::chrono::hours(index);
    }

    bool reachable(std::uint32_t index) const
    {
        return this->vms[index].claimer && !this->isolated.contains(index);
    }

    void start(std::uint32_t index)
    {
        vm& at = this->vms[index];
        at.listed_until = time_point::max();
        at.paused_until = time_point();
        ++at.started;
        const std::uint64_t generation = ++at.generation;
        at.claimer = std::make_unique<share_claimer>(
            claimer_options{.self = name(index),
                            .self_incarnation = at.started,
                            .address = "10.0.0." + std::to_string(index),
                            .idle_time = this->idle_time},
            this->table,
            [this, index](const vm_id& to, std::string_view type, const wire::body& body)
            { this->send(index, to, std::string(type), body); });
        at.claimer->set_share_count(this->local_time(index), this->shares);
        this->tick(index, generation, 0);
    }

    void kill(std::uint32_t index)
    {
        this->vms[index].claimer.reset();
        ++this->vms[index].generation;
        this->vms[index].listed_until = this->clock + 3 * second;
    }

    // A paused VM also disappears from the VM list.
    void pause(std::uint32_t index, duration length)
    {
        this->vms[index].paused_until = this->clock + length;
        this->vms[index].listed_until = this->clock + 3 * second;
        this->schedule(length + 4 * second,
                       [this, index, generation = this->vms[index].generation]
                       {
                           if (this->vms[index].generation == generation)
                               this->vms[index].listed_until = time_point::max();
                       });
    }

    void send(std::uint32_t from, const vm_id& to, const std::string& type,
              const wire::body& body)
    {
        const auto target = static_cast<std::uint32_t>(std::stoul(to.value.substr(3)));
        if (this->isolated.contains(from))
            return;
        this->deliver(from, target, type, body, ms);
    }

    void deliver(std::uint32_t from, std::uint32_t to, const std::string& type,
                 const wire::body& body, duration delay)
    {
        this->schedule(delay,
                       [this, from, to, type, body]
                       {
                           if (!this->reachable(to))
                               return;
                           if (this->vms[to].paused_until > this->clock)
                               this->deliver(from, to, type, body,
                                             this->vms[to].paused_until - this->clock);
                           else if (type.empty())
                               this->vms[to].claimer->on_peer_message(
                                   this->local_time(to), name(from));
                           else if (!this->vms[to].claimer->receive(
                                        this->local_time(to), name(from), type, body))
                               ++this->violations;
                       });
    }

    void tick(std::uint32_t index, std::uint64_t generation, std::uint64_t count)
    {
        vm& at = this->vms[index];
        if (at.generation != generation)
            return;
        const bool paused = at.paused_until > this->clock;
        this->schedule(paused ? at.paused_until - this->clock : 50 * ms,
                       [this, index, generation, count]
                       { this->tick(index, generation, count + 1); });
        if (paused)
            return;
        this->check(index); // a request may arrive before the tick
        if (count % 20 == 0)
            this->each_second(index);
        at.claimer->tick(this->local_time(index));
        this->check(index);
    }

    void each_second(std::uint32_t index)
    {
        for (std::uint32_t to = 0; to < this->vms.size(); ++to)
            if (to != index && !this->isolated.contains(index))
                this->deliver(index, to, "", {}, ms);
        std::vector<store::vm_entry> list;
        for (std::uint32_t other = 0; other < this->vms.size(); ++other)
            if (this->vms[other].listed_until > this->clock)
                list.push_back({.id = name(other)});
        if (!this->table.down)
            this->vms[index].claimer->on_vm_list(this->local_time(index), list);
    }

    void check(std::uint32_t index)
    {
        const std::string user =
            name(index).value + '/' + std::to_string(this->vms[index].started);
        for (const std::uint32_t share :
             this->vms[index].claimer->usable(this->local_time(index)))
        {
            use& last = this->uses[share];
            const duration min_idle = claimer_options{}.idle_time - 100 * ms;
            if (!last.user.empty() && last.user != user &&
                this->clock - last.last < min_idle)
                ++this->violations;
            last = {.user = user, .last = this->clock};
        }
    }

    std::size_t usable(std::uint32_t index) const
    {
        return this->vms[index].claimer->usable(this->local_time(index)).size();
    }

    std::size_t usable_everywhere() const
    {
        std::size_t count = 0;
        for (std::uint32_t index = 0; index < this->vms.size(); ++index)
            count += this->vms[index].claimer ? this->usable(index) : 0;
        return count;
    }
};

} // namespace

// Guards against two concurrent users of a share, and against use of a share while loans
// of its previous user may still be outstanding. Faults: kills, restarts, pauses, store
// outages, lost answers, late writes and partitions. Every share must be in use again
// after the faults end.
BOOST_AUTO_TEST_CASE(a_share_has_one_user_at_a_time)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        const auto vms = static_cast<std::uint32_t>(3 + seed % 7);
        simulation sim(seed, vms, vms + static_cast<std::uint32_t>(seed % 3));
        for (int step = 0; step < 25; ++step)
        {
            sim.run_for(duration(sim.engine() % 40'000'000));
            const auto victim = static_cast<std::uint32_t>(sim.engine() % vms);
            switch (sim.engine() % 6)
            {
            case 0:
                if (sim.vms[victim].claimer)
                    sim.kill(victim);
                break;
            case 1:
                if (!sim.vms[victim].claimer)
                    sim.start(victim);
                break;
            case 2:
                if (sim.vms[victim].claimer)
                    sim.pause(victim, duration(sim.engine() % 100'000'000));
                break;
            case 3:
                sim.table.down = !sim.table.down;
                break;
            case 4:
                sim.table.lost_answers = sim.engine() % 2 == 0 ? 0.5 : 0;
                break;
            default:
                sim.isolated.contains(victim) ? sim.isolated.erase(victim)
                                              : sim.isolated.insert(victim).second;
            }
        }
        BOOST_TEST(sim.violations == 0U, "seed " << seed);
        sim.table.down = false;
        sim.table.lost_answers = 0;
        sim.isolated.clear();
        sim.run_for(400 * second);
        BOOST_TEST(sim.violations == 0U, "seed " << seed << " after the faults");
        const bool any =
            std::any_of(sim.vms.begin(), sim.vms.end(),
                        [](const auto& vm) { return vm.claimer != nullptr; });
        BOOST_TEST((!any || sim.usable_everywhere() == sim.shares), "seed " << seed);
    }
}

// Guards against the share of a dead VM being lost for good, and against a takeover
// before absence_timeout.
BOOST_AUTO_TEST_CASE(the_share_of_a_dead_vm_is_taken_over_after_a_minute)
{
    simulation sim(1, 4, 4);
    sim.run_for(30 * second);
    BOOST_TEST(sim.usable_everywhere() == 4U);
    sim.kill(2);
    sim.run_for(60 * second);
    BOOST_TEST(sim.usable_everywhere() == 3U);
    sim.run_for(60 * second);
    BOOST_TEST(sim.usable_everywhere() == 4U);
    sim.start(2);
    sim.run_for(60 * second);
    BOOST_TEST(sim.usable(2) == 1U); // a VM with two shares released one
    BOOST_TEST(sim.usable_everywhere() == 4U);
}

// Guards against a VM that cannot use its share after a short pause because the store is
// down and cannot confirm it.
BOOST_AUTO_TEST_CASE(peers_vouch_for_a_short_pause_while_the_store_is_down)
{
    simulation sim(2, 5, 5);
    sim.run_for(200 * second);
    sim.table.down = true;
    sim.run_for(300 * second);
    BOOST_TEST(sim.usable_everywhere() == 5U);
    sim.pause(1, 5 * second);
    sim.run_for(5 * second + ms / 2);
    BOOST_TEST(sim.usable(1) == 0U);
    sim.run_for(10 * second);
    BOOST_TEST(sim.usable(1) == 1U);
    sim.pause(1, 70 * second); // long enough for a takeover elsewhere
    sim.run_for(120 * second);
    BOOST_TEST(sim.usable(1) == 0U);
    sim.table.down = false;
    sim.run_for(30 * second);
    BOOST_TEST(sim.usable_everywhere() == 5U);
    BOOST_TEST(sim.violations == 0U);
}

// Guards against rows that remain after a VM has left, and against more writes than the
// write load stated in share.hpp.
BOOST_AUTO_TEST_CASE(a_leaving_vm_removes_its_rows_and_writes_are_bounded)
{
    simulation sim(3, 9, 9);
    sim.run_for(60 * second);
    const std::uint64_t before = sim.table.writes;
    sim.run_for(600 * second);
    const double rate = static_cast<double>(sim.table.writes - before) / 600;
    BOOST_TEST(rate < 0.5);
    sim.vms[4].claimer->release(sim.local_time(4));
    sim.vms[4].listed_until = sim.clock;
    BOOST_TEST(sim.usable(4) == 0U);
    sim.run_for(2 * second);
    BOOST_TEST(sim.table.rows.size() == 9U); // loans on it may be outstanding
    sim.run_for(6 * second);
    BOOST_TEST(sim.table.rows.size() == 8U);
    BOOST_TEST(sim.vms[4].claimer->released());
    sim.kill(4);
    sim.run_for(60 * second);
    BOOST_TEST(sim.usable_everywhere() == 9U);
    BOOST_TEST(sim.violations == 0U);
}

// Guards against a restarted VM using a share that its previous process may have lent.
BOOST_AUTO_TEST_CASE(a_restarted_vm_leaves_its_share_idle_first)
{
    simulation sim(4, 3, 3);
    sim.run_for(60 * second);
    sim.kill(1);
    sim.start(1);
    sim.run_for(3 * second);
    BOOST_TEST(sim.usable(1) == 0U);
    sim.run_for(2 * second);
    BOOST_TEST(sim.usable(1) == 1U);
    BOOST_TEST(sim.violations == 0U);
}

// Guards against a takeover from a VM that still renews its row, although it is missing
// from the VM list and no peer hears it.
BOOST_AUTO_TEST_CASE(a_renewed_row_is_not_taken_over)
{
    simulation sim(5, 3, 3);
    sim.run_for(60 * second);
    sim.isolated = {2};
    sim.vms[2].listed_until = sim.clock;
    sim.run_for(300 * second);
    BOOST_TEST(sim.usable(2) == 1U);
    BOOST_TEST(sim.violations == 0U);
}
