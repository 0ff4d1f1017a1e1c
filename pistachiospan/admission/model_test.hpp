// A service in virtual time, whose requests one or several controllers admit.

#ifndef PISTACHIOSPAN_ADMISSION_MODEL_TEST_HPP
#define PISTACHIOSPAN_ADMISSION_MODEL_TEST_HPP

#include "pistachiospan/admission/admission.hpp"

#include <queue>

namespace pistachiospan::admission::testing
{

struct source
{
    std::string account;
    double rate = 0; // requests per second
    duration work = std::chrono::milliseconds(100);
    int priority = 0;
    std::string route = "read";
};

struct source_counts
{
    double offered = 0; // slot time in seconds
    double served = 0;
    std::size_t refused = 0; // by a controller
    std::size_t no_room = 0;
    std::vector<duration> retry_times;
};

// Requests arrive at random at the VMs in turn, and occupy a slot for the time of their
// work. One request waits for two slots, fewer of those that yield; beyond that, requests
// have no room.
class model
{
public:
    explicit model(std::size_t slots, std::size_t vms = 1, bool controlled = true)
        : slots(slots), controlled(controlled), random(7)
    {
        for (std::size_t at = 0; at < vms; ++at)
            this->controllers.emplace_back(controller_options{});
    }

    // Counts start anew with each run.
    std::vector<source_counts> run(duration span, const std::vector<source>& sources)
    {
        std::vector<source_counts> counts(sources.size());
        std::vector<time_point> next;
        next.reserve(sources.size());
        for (const source& each : sources)
            next.push_back(this->now + this->pause(each.rate));
        const time_point end = this->now + span;
        while (true)
        {
            const auto first = std::ranges::min_element(next);
            if (this->next_exchange <= std::min(*first, end) && this->exchanges)
            {
                this->now = this->next_exchange;
                this->exchange();
                continue;
            }
            if (*first >= end)
                break;
            this->now = *first;
            this->finish_until(this->now);
            const auto at = static_cast<std::size_t>(first - next.begin());
            this->send(sources[at], counts[at]);
            *first += this->pause(sources[at].rate);
        }
        this->now = end;
        return counts;
    }

    std::size_t slots;
    bool controlled;
    bool exchanges = false; // members report to a coordinator once a second
    double loss = 0;        // of their messages
    std::vector<controller> controllers;
    coordinator central{coordinator_options{}};
    time_point now = time_point(std::chrono::seconds(1000));

private:
    struct running
    {
        time_point ends_at;
        std::size_t vm = 0;
        source from;
        bool operator>(const running& other) const
        {
            return this->ends_at > other.ends_at;
        }
    };

    static request request_of(const source& from)
    {
        return {.service = "orders",
                .account = from.account,
                .route = from.route,
                .priority = from.priority,
                .objective = std::chrono::milliseconds(300),
                .time_left = std::chrono::seconds(1)};
    }

    duration pause(double rate)
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
            std::exponential_distribution<>(rate)(this->random)));
    }

    void finish_until(time_point until)
    {
        while (!this->busy.empty() && this->busy.top().ends_at <= until)
        {
            const running done = this->busy.top();
            this->busy.pop();
            this->controllers[done.vm].note(done.ends_at, request_of(done.from),
                                            outcome::answered, done.from.work);
        }
    }

    void send(const source& from, source_counts& counts)
    {
        const std::size_t vm = this->random() % this->controllers.size();
        const double work = std::chrono::duration<double>(from.work).count();
        counts.offered += work;
        controller& local = this->controllers[vm];
        const request incoming = request_of(from);
        const decision decided =
            this->controlled ? local.decide(this->now, incoming) : decision{};
        if (!decided.admitted)
        {
            ++counts.refused;
            counts.retry_times.push_back(decided.retry_after);
            return;
        }
        // Within three quarters of the objective of 300 ms, with work of 100 ms, a
        // request can wait 5/8 of the usual time.
        const std::size_t queue =
            decided.yields ? (this->slots * 5 + 8) / 16 : this->slots / 2;
        if (this->busy.size() >= this->slots + queue)
        {
            ++counts.no_room;
            local.note(this->now, incoming, outcome::no_room);
            return;
        }
        counts.served += work;
        this->free_at.resize(this->slots, this->now);
        // It begins when the earliest slot is free.
        const auto slot = std::ranges::min_element(this->free_at);
        *slot = std::max(*slot, this->now) + from.work;
        this->busy.push({.ends_at = *slot, .vm = vm, .from = from});
        local.note(this->now, incoming, outcome::placed);
    }

    void exchange()
    {
        this->next_exchange = this->now + std::chrono::seconds(1);
        const auto is_lost = [this]
        {
            return std::uniform_real_distribution<>(0, 1)(this->random) < this->loss;
        };
        for (std::size_t at = 0; at < this->controllers.size(); ++at)
        {
            const auto reports =
                decode_reports(encode(this->controllers[at].report(this->now)));
            if (!reports.value().empty() && !is_lost())
                this->central.observe(this->now, std::to_string(at), reports.value());
        }
        for (std::size_t at = 0; at < this->controllers.size(); ++at)
        {
            const auto news = decode_news(
                encode(this->central.news_for(this->now, std::to_string(at))));
            if (!is_lost())
                this->controllers[at].apply(this->now, news.value());
        }
    }

    std::mt19937_64 random;
    std::priority_queue<running, std::vector<running>, std::greater<>> busy;
    std::vector<time_point> free_at; // of the slots
    time_point next_exchange = this->now;
};

} // namespace pistachiospan::admission::testing

#endif
