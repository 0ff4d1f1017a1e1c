// Load from several client accounts, open loop (requests start on schedule) or closed
// loop (a fixed number of requests in progress), and the check of every answer.
//
// Example:
//
//     load_run run(base, {.entries = {"127.0.0.1:8080"},
//                         .accounts = {{.name = "north", .key = "k1", .rate = 50}},
//                         .routes = {{.name = "katalog", .path = "/katalog"}}},
//                  [&] { event_base_loopbreak(base); });
//     event_base_dispatch(base);
//     std::cout << run.report().text();

#ifndef PISTACHIOSPAN_STANDIN_LOAD_LOAD_RUN_HPP
#define PISTACHIOSPAN_STANDIN_LOAD_LOAD_RUN_HPP

#include "standin/load/directory.hpp"
#include "standin/load/http_pool.hpp"
#include "standin/load/load_report.hpp"

#include <deque>
#include <memory>
#include <unordered_map>

namespace pistachiospan::standin
{

struct load_account
{
    std::string name;
    std::string key;
    double rate = 10; // requests/s, Poisson arrivals; not used in closed loop
};

struct load_route
{
    std::string name; // in look-ups
    std::string path; // of the requests
};

struct load_options
{
    std::vector<std::string> entries; // ip:port of entry VMs, for first look-ups
    // ip:port of an upstream: send there, without look-ups and keys, as the baseline.
    std::string direct;
    std::vector<load_account> accounts;
    bool anonymous = false; // open routes: send no key, expect no account upstream
    std::vector<load_route> routes;
    std::vector<std::string> upstreams; // ip:port, for their counts at the end
    double post_share = 0.2;            // of the requests; POSTs have an Idempotency-Key
    std::uint64_t body_bytes = 200;     // of POSTs
    std::uint64_t answer_bytes = 200;   // filler of all answers
    double large_share = 0;             // of the POSTs, with a body of large_bytes
    std::uint64_t large_bytes = std::uint64_t{4} * 1024 * 1024;
    duration deadline = std::chrono::seconds(5);
    // Repeats of a refused or lost request through another VM, with the same key. Refused
    // requests wait for Retry-After. Requests that may have run are repeated only with
    // repeat_lost, and then only GETs and those with a key.
    std::uint32_t max_repeats = 0;
    bool repeat_lost = false;
    std::uint64_t max_requests = 1'000'000;
    duration max_time = std::chrono::seconds(10); // of sending; answers may come later
    std::uint32_t closed_loop = 0;                // requests in progress; 0: open loop
    std::uint32_t max_in_progress = 20'000;       // open loop; further arrivals: not_sent
    std::size_t connections = 256;                // to each VM
    std::uint64_t seed = 1;
    // Part of all request ids and keys, so that runs with one seed against one system do
    // not share keys. Empty: chosen at random.
    std::string run_id;
    // Called each second with a line on the progress.
    std::function<void(const std::string&)> progress;
};

class load_run
{
public:
    // Throws std::invalid_argument if the options name no account, route or destination.
    load_run(event_base* base, load_options options, std::function<void()> done);
    ~load_run();
    load_run(const load_run&) = delete;
    load_run& operator=(const load_run&) = delete;

    const load_report& report() const
    {
        return this->result;
    }

    // Ends sending; the requests in progress finish.
    void stop();

private:
    struct operation;
    using operation_ptr = std::shared_ptr<operation>;

    struct arrivals
    {
        time_point next;
        std::unique_ptr<timer> pending;
    };

    // What the caller of a request with a key was told, for the check at the end.
    struct told
    {
        bool answered = false;
        bool not_run = false; // every attempt was refused as not run
    };

    void check_options() const;
    void arrive(std::size_t account);
    bool may_send() const;
    void start(std::size_t account, time_point scheduled);
    void send(const operation_ptr& work);
    void send_direct(const operation_ptr& work);
    void send_through_entry(const operation_ptr& work);
    void attempt(const operation_ptr& work);
    // The account that upstreams see.
    std::string account_upstream(const operation& work) const;
    pool_request make_request(const operation& work);
    void ended(const operation_ptr& work, const pool_answer& answer);
    void ended_answered(const operation_ptr& work, const pool_answer& answer);
    void ended_refused(const operation_ptr& work, const pool_answer& answer);
    void ended_lost(const operation_ptr& work, time_point at);
    bool repeat(const operation_ptr& work, duration pause);
    void conclude(const operation_ptr& work, time_point at);
    void renew(const std::string& route);
    void resume_waiting(const std::string& route);
    void report_progress();
    void finish_if_idle();
    void fetch_counts();
    void add_counts(const pool_answer& answer);
    void check_runs();
    void complete();

    event_base* base;
    load_options options;
    std::function<void()> done;
    random_engine random;
    http_pool pool;
    directory known;
    std::vector<arrivals> schedule;
    std::map<std::string, std::deque<operation_ptr>> waiting; // for a look-up, by route
    std::map<std::string, std::size_t> next_entry;            // by route
    timer sending;
    timer second;
    time_point started;
    std::uint64_t next_id = 0;
    std::uint32_t in_progress = 0;
    bool is_sending = true;
    bool is_finishing = false;
    std::size_t counts_pending = 0;
    bool counts_failed = false;
    std::unordered_map<std::string, told> told_by_key;
    std::unordered_map<std::string, std::uint64_t> runs_by_key;
    latency_samples recent; // of the present second
    outcome_counts last_progress;
    load_report result;
};

} // namespace pistachiospan::standin

#endif
