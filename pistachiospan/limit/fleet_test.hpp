// Simulated fleet of limiters for tests and measurements: a clock, a network that delays,
// loses, repeats and reorders messages, and faults of VMs. Deterministic from its seed.
// Each admission is checked against a single token bucket of the account's whole rate and
// burst, which checks the bound for all windows at once.

#ifndef PISTACHIOSPAN_LIMIT_FLEET_TEST_HPP
#define PISTACHIOSPAN_LIMIT_FLEET_TEST_HPP

#include "pistachiospan/limit/limit.hpp"

#include <algorithm>
#include <map>
#include <queue>
#include <set>

namespace pistachiospan::limit::testing
{

inline constexpr duration ms = std::chrono::milliseconds(1);
inline constexpr duration second = std::chrono::seconds(1);

// Exact leaky bucket of one account, in nanotokens. The level is the sum of the
// admissions minus what has leaked at the account's rate.
class bucket_check
{
public:
    bucket_check() = default;
    bucket_check(double rate_in, double burst_in)
        : rate(static_cast<std::int64_t>(rate_in * 1000)),
          burst(static_cast<std::int64_t>(burst_in * 1000) * 1'000'000)
    {
    }
    // True if one more request fits at `now`.
    bool fits(time_point now)
    {
        this->leak(now);
        return this->level + token <= this->burst;
    }
    void add(time_point now)
    {
        this->leak(now);
        this->level += token;
    }
    bool over() const
    {
        return this->level > this->burst;
    }

private:
    static constexpr std::int64_t token = 1'000'000'000;
    void leak(time_point now)
    {
        const std::int64_t leaked = this->rate * (now - this->updated).count();
        this->level = std::max<std::int64_t>(this->level - leaked, 0);
        this->updated = now;
    }
    std::int64_t rate = 0;
    std::int64_t burst = 0;
    std::int64_t level = 0;
    time_point updated;
};

struct network
{
    double loss = 0;
    double repeat = 0;
    duration jitter = ms / 2; // reorders when it exceeds the gap between messages
    duration same_data_centre = ms / 2;
    duration same_region = ms * 3 / 2;
    duration other_region = 12 * ms;
};

struct tally
{
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t ideal = 0;    // admitted by a single bucket without waits
    std::uint64_t wrongful = 0; // refused although that bucket admitted the request
    std::uint64_t unneeded = 0; // refused while the fleet's bucket had a token
    std::uint64_t over = 0;     // admissions beyond the bound
    std::uint64_t waited = 0;   // admitted after a wait
    std::vector<std::int64_t> waits_us;
};

struct fleet_options
{
    std::uint32_t vms = 9;
    std::uint32_t regions = 3;
    std::uint64_t seed = 1;
    network net;
    limiter_options limiter;
    duration tick = 5 * ms;
    bool count_bytes = false;
};

class fleet
{
public:
    fleet(fleet_options options_in, catalogue::catalogue accounts_in)
        : options(std::move(options_in)), in_force(std::move(accounts_in)),
          engine(this->options.seed), vms(this->options.vms)
    {
        this->set_checks();
        for (std::uint32_t index = 0; index < this->options.vms; ++index)
            this->start(index, true);
        this->update_peers();
    }

    time_point now() const
    {
        return this->clock;
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

    void at(duration from_now, std::function<void()> run)
    {
        this->events.push({.at = this->clock + from_now,
                           .order = this->next_order++,
                           .run = std::move(run)});
    }

    // Poisson arrivals: `rate` requests per second of the account at VMs by weight.
    void offer(const std::string& account, double rate, std::vector<double> weights)
    {
        const std::size_t source = this->sources.size();
        this->sources.push_back({.account = account, .rate = rate, .weights = {}});
        this->set_weights(source, std::move(weights));
        this->schedule_arrival(source);
    }

    void set_weights(std::size_t source, std::vector<double> weights)
    {
        this->sources[source].weights = std::move(weights);
    }

    // Only this fraction of the arrivals of all accounts takes place.
    void set_activity(double fraction)
    {
        this->activity = fraction;
    }

    void kill(std::uint32_t index)
    {
        vm& at = this->vms[index];
        ++at.generation;
        this->refuse_waiting(at);
        at.instance.reset();
        this->update_peers();
    }

    void start(std::uint32_t index, bool first = false)
    {
        vm& at = this->vms[index];
        ++at.generation;
        ++at.start_count;
        limiter_options limiter_settings = this->options.limiter;
        limiter_settings.self = name(index);
        limiter_settings.self_incarnation = at.start_count;
        limiter_settings.data_centre = this->data_centre(index);
        limiter_settings.seed = this->options.seed;
        at.instance = std::make_unique<limiter>(
            limiter_settings,
            hooks{.send = [this, index](const vm_id& to, std::string_view type,
                                        const wire::body& body)
                  { this->send(index, to, type, body); },
                  .on_resolved =
                      [this, index](std::uint64_t ticket, const decision& answer)
                  {
                      this->handle_resolved(index, ticket, answer);
                  }});
        at.instance->set_accounts(this->local(index), this->in_force, true);
        const duration idle =
            first ? duration{0} : this->idle_after_start(limiter_settings.loan_duration);
        this->schedule_share(index, idle);
        if (!first)
            this->update_peers();
        const std::uint64_t generation = at.generation;
        this->at(ms * static_cast<int>(index % 5),
                 [this, index, generation] { this->tick(index, generation); });
    }

    void pause(std::uint32_t index, duration length)
    {
        vm& at = this->vms[index];
        if (!at.instance)
            return;
        at.paused_until = this->clock + length;
        // After a long pause the shares are confirmed again a little later.
        if (length > this->options.limiter.max_pause)
            this->schedule_share(index, length + 30 * ms);
    }

    // VMs on different sides cannot exchange messages. An empty list ends the partition.
    void partition(std::vector<int> sides)
    {
        this->side = std::move(sides);
    }

    void set_network(const network& next)
    {
        this->options.net = next;
    }

    void activate(std::uint32_t index, const catalogue::catalogue& next)
    {
        if (this->vms[index].instance)
            this->vms[index].instance->set_accounts(this->local(index), next);
    }

    void set_bound(const catalogue::catalogue& larger)
    {
        this->in_force = larger;
        this->set_checks();
    }

    limiter* vm_limiter(std::uint32_t index)
    {
        return this->vms[index].instance.get();
    }

    std::string data_centre(std::uint32_t index) const
    {
        const std::uint32_t data_centres = 2 * this->options.regions;
        return "dc-" + std::to_string(index % data_centres);
    }

    std::uint32_t region(std::uint32_t index) const
    {
        return index % this->options.regions;
    }

    static vm_id name(std::uint32_t index)
    {
        return {"vm-" + std::to_string(index)};
    }

    void reset_tallies()
    {
        this->tallies.clear();
        this->messages = 0;
        this->bytes = 0;
    }

    std::uint64_t total_over() const
    {
        std::uint64_t count = 0;
        for (const auto& [account, each] : this->over_by_account)
            count += each;
        return count;
    }

    std::map<std::string, tally> tallies;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    // False: a started VM uses its share without the idle time, which violates the bound.
    bool idle_on_start = true;

private:
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

    struct waiting_call
    {
        std::string account;
        time_point since;
        bool ideal = false;
    };

    struct vm
    {
        std::unique_ptr<limiter> instance;
        std::uint64_t generation = 0; // incremented at each start and kill
        std::uint64_t start_count = 0;
        time_point paused_until;
        std::map<std::uint64_t, waiting_call> calls;
    };

    struct source
    {
        std::string account;
        double rate = 0;
        std::vector<double> weights;
    };

    // Each VM has its own clock; only the offset differs.
    time_point local(std::uint32_t index) const
    {
        return this->clock + std::chrono::hours(index + 1);
    }

    duration idle_after_start(duration loan_duration) const
    {
        return this->idle_on_start ? max_loan_duration(loan_duration) : duration{0};
    }

    void schedule_share(std::uint32_t index, duration delay)
    {
        const std::uint64_t generation = this->vms[index].generation;
        this->at(delay,
                 [this, index, generation]
                 {
                     if (this->vms[index].generation != generation)
                         return;
                     const std::vector<std::uint32_t> shares = {index};
                     this->vms[index].instance->set_shares(this->local(index), shares);
                 });
    }

    void set_checks()
    {
        for (const auto& [account, entry] : this->in_force.accounts)
        {
            this->actual_buckets.try_emplace(account, entry.rate, entry.burst);
            this->ideal_buckets.try_emplace(account, entry.rate, entry.burst);
        }
    }

    void update_peers()
    {
        for (std::uint32_t index = 0; index < this->vms.size(); ++index)
        {
            if (!this->vms[index].instance)
                continue;
            std::vector<peer> live;
            for (std::uint32_t other = 0; other < this->vms.size(); ++other)
                if (other != index && this->vms[other].instance)
                    live.push_back({.id = name(other),
                                    .data_centre = this->data_centre(other),
                                    .shares = {other}});
            this->vms[index].instance->set_peers(this->local(index), live);
        }
    }

    bool paused(std::uint32_t index) const
    {
        return this->vms[index].paused_until > this->clock;
    }

    void tick(std::uint32_t index, std::uint64_t generation)
    {
        vm& at = this->vms[index];
        if (at.generation != generation)
            return;
        if (this->paused(index))
        {
            this->at(at.paused_until - this->clock,
                     [this, index, generation] { this->tick(index, generation); });
            return;
        }
        at.instance->tick(this->local(index));
        this->at(this->options.tick,
                 [this, index, generation] { this->tick(index, generation); });
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(this->engine) < probability;
    }

    duration delay(std::uint32_t from, std::uint32_t to)
    {
        const network& net = this->options.net;
        duration base = net.other_region;
        if (this->data_centre(from) == this->data_centre(to))
            base = net.same_data_centre;
        else if (this->region(from) == this->region(to))
            base = net.same_region;
        return base + duration(std::uniform_int_distribution<std::int64_t>(
                          0, net.jitter.count())(this->engine));
    }

    void send(std::uint32_t from, const vm_id& to, std::string_view type,
              const wire::body& body)
    {
        ++this->messages;
        if (this->options.count_bytes)
            this->bytes += nlohmann::json::to_msgpack(body).size();
        const auto target = static_cast<std::uint32_t>(std::stoul(to.value.substr(3)));
        if (!this->side.empty() && this->side[from] != this->side[target])
            return;
        const int copies = this->chance(this->options.net.repeat) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
            if (!this->chance(this->options.net.loss))
                this->deliver(from, target, std::string(type), body,
                              this->delay(from, target));
    }

    void deliver(std::uint32_t from, std::uint32_t to, const std::string& type,
                 const wire::body& body, duration delay)
    {
        this->at(
            delay,
            [this, from, to, type, body]
            {
                vm& at = this->vms[to];
                if (!at.instance)
                    return;
                if (this->paused(to))
                    this->deliver(from, to, type, body, at.paused_until - this->clock);
                else if (!at.instance->receive(this->local(to), name(from), type, body))
                    ++this->tallies["refused messages"].refused;
            });
    }

    void schedule_arrival(std::size_t index)
    {
        std::exponential_distribution<> gap(this->sources[index].rate / 1e6);
        this->at(duration(static_cast<std::int64_t>(gap(this->engine))),
                 [this, index]
                 {
                     if (this->chance(this->activity))
                         this->arrive(index);
                     this->schedule_arrival(index);
                 });
    }

    void arrive(std::size_t index)
    {
        // Callers of a VM that is killed or paused use another one.
        std::vector<double> weights = this->sources[index].weights;
        double sum = 0;
        for (std::uint32_t at = 0; at < weights.size(); ++at)
        {
            if (!this->vms[at].instance || this->paused(at))
                weights[at] = 0;
            sum += weights[at];
        }
        if (sum == 0)
            for (std::uint32_t at = 0; at < weights.size(); ++at)
                weights[at] = this->vms[at].instance && !this->paused(at) ? 1 : 0;
        std::discrete_distribution<std::uint32_t> pick(weights.begin(), weights.end());
        this->call(pick(this->engine), this->sources[index].account);
    }

    void call(std::uint32_t index, const std::string& account)
    {
        if (!this->vms[index].instance || this->paused(index))
            return;
        tally& counts = this->tallies[account];
        ++counts.offered;
        bucket_check& one = this->ideal_buckets[account];
        const bool ideal = one.fits(this->clock);
        if (ideal)
        {
            one.add(this->clock);
            ++counts.ideal;
        }
        const decision answer =
            this->vms[index].instance->admit(this->local(index), account);
        if (answer.result == outcome::waiting)
            this->vms[index].calls[answer.ticket] = {
                .account = account, .since = this->clock, .ideal = ideal};
        else if (answer.result == outcome::admitted)
            this->admitted(account);
        else
            this->refused(account, ideal);
    }

    void admitted(const std::string& account)
    {
        tally& counts = this->tallies[account];
        ++counts.admitted;
        bucket_check& check = this->actual_buckets[account];
        check.add(this->clock);
        if (check.over())
        {
            ++counts.over;
            ++this->over_by_account[account];
        }
    }

    void refused(const std::string& account, bool ideal)
    {
        tally& counts = this->tallies[account];
        ++counts.refused;
        if (ideal)
            ++counts.wrongful;
        if (this->actual_buckets[account].fits(this->clock))
            ++counts.unneeded;
    }

    void handle_resolved(std::uint32_t index, std::uint64_t ticket,
                         const decision& answer)
    {
        vm& at = this->vms[index];
        const auto found = at.calls.find(ticket);
        if (found == at.calls.end())
            return;
        const waiting_call call = found->second;
        at.calls.erase(found);
        if (answer.result != outcome::admitted)
        {
            this->refused(call.account, call.ideal);
            return;
        }
        tally& counts = this->tallies[call.account];
        ++counts.waited;
        counts.waits_us.push_back((this->clock - call.since).count());
        this->admitted(call.account);
    }

    // Counts the waiting calls of a killed VM as refused.
    void refuse_waiting(vm& at)
    {
        for (const auto& [ticket, call] : at.calls)
            this->refused(call.account, call.ideal);
        at.calls.clear();
    }

    fleet_options options;
    catalogue::catalogue in_force;
    random_engine engine;
    std::vector<vm> vms;
    std::vector<source> sources;
    std::priority_queue<event> events;
    std::vector<int> side;
    std::map<std::string, bucket_check> actual_buckets;
    std::map<std::string, bucket_check> ideal_buckets;
    std::map<std::string, std::uint64_t> over_by_account;
    std::uint64_t next_order = 0;
    double activity = 1;
    time_point clock = time_point(std::chrono::hours(1));
};

} // namespace pistachiospan::limit::testing

#endif
