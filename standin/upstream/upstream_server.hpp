// Stand-in for one upstream: holds each request for a service time and counts what it was
// made to do.
//
// Example:
//
//     upstream_server server(base, {.listen = "127.0.0.1:0", .behaviour = {.slots = 5}});
//
// Paths:
//
//     GET  /healthz   200, or 503 when not healthy, after probe_ms
//     GET  /load      {"in_flight", "slots", "draining"}, may lag or lie
//     GET  /counts    see upstream_counts; with ?keys=1 also the runs of every
//                     Idempotency-Key, as "<account> <key>"
//     GET  /control   the behaviour; POST changes the members given
//     other           runs; see standin/common/answer.hpp for the answer's body.
//                     ?answer_bytes=N sets the size of its filler
//
// A run begins when the request has arrived completely, and counts even if it is then
// stopped by its deadline (504), by the end of the caller's connection or by a crash.
// Refusals before a run carry `X-Not-Run: 1`.

#ifndef PISTACHIOSPAN_STANDIN_UPSTREAM_UPSTREAM_SERVER_HPP
#define PISTACHIOSPAN_STANDIN_UPSTREAM_UPSTREAM_SERVER_HPP

#include "standin/common/http_server.hpp"

#include <list>
#include <unordered_map>

namespace pistachiospan::standin
{

enum class service_distribution
{
    constant,
    exponential,
    log_normal, // sigma 1: a long tail
};

enum class shed_policy
{
    never,
    over_slots,
    always,
};

// How false reports of /healthz and /load look.
enum class report_policy
{
    truth,
    good, // healthy and idle
    bad,  // unhealthy and full
};

struct upstream_behaviour
{
    std::uint32_t slots = 4;
    double service_time_ms = 5; // mean
    service_distribution distribution = service_distribution::exponential;
    // A cold upstream takes four times as long, falling to once over this time.
    double warm_up_ms = 0;
    shed_policy shed = shed_policy::never;
    bool draining = false; // marks all answers with `Drain: 1`
    bool healthy = true;
    double probe_ms = 6;
    report_policy report = report_policy::truth;
    double load_lag_ms = 0;
    // Shares of the runs, 0 to 1, that end in one of these ways.
    double truncate = 0; // cut within the answer
    double wrong_id = 0; // answered with the id of another request
    double crash = 0;    // connection cut after the run, without an answer
    double late = 0;     // answered late_ms after the run, whatever the deadline
    double late_ms = 1000;
};

struct upstream_counts
{
    std::uint64_t runs = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;        // the caller closed the connection
    std::uint64_t deadline_stopped = 0; // stopped at the deadline
    std::uint64_t shed = 0;
    std::uint64_t expired = 0;    // deadline passed on arrival, not run
    std::uint64_t over_slots = 0; // requests that came while all slots were in use
    std::uint32_t highest_concurrency = 0;
    std::uint64_t keys_seen = 0; // requests with an X-Client-Key
    std::uint64_t bytes_received = 0;
};

struct upstream_server_options
{
    std::string listen; // ip:port; port 0 chooses one
    upstream_behaviour behaviour = {};
    std::uint32_t connections = 330;
    std::size_t max_body = std::size_t{16} * 1024 * 1024; // bytes of a request
    std::uint64_t seed = 1;
};

class upstream_server
{
public:
    upstream_server(event_base* base, const upstream_server_options& options);

    const std::string& address() const
    {
        return this->own_address;
    }

    upstream_behaviour behaviour;
    upstream_counts counts;

private:
    // How a run ends, drawn when it begins.
    enum class ending
    {
        answer,
        deadline,
        truncate,
        wrong_id,
        crash,
        late,
    };

    struct run
    {
        exchange_ptr call;
        std::string request_id;
        std::string account;
        std::string body_id;
        std::uint64_t bytes_received = 0;
        ending end = ending::answer;
        std::unique_ptr<timer> pending;
    };
    using run_iterator = std::list<run>::iterator;

    // What /load reports, taken at most once per load_lag_ms.
    struct load_report
    {
        std::optional<time_point> taken;
        std::uint32_t in_flight = 0;
    };

    void handle(const exchange_ptr& call);
    void start_run(const exchange_ptr& call);
    bool refuse(const exchange_ptr& call, std::optional<duration> left);
    void note_key(const exchange_ptr& call, const std::string& account);
    duration draw_service_time();
    ending draw_ending();
    void finish(run_iterator ended);
    void cancel(run_iterator ended);
    void answer_late(run_iterator ended);
    void release(run_iterator ended);
    http_answer make_answer(const run& ended) const;
    void send(const exchange_ptr& call, http_answer content);

    void change(const exchange_ptr& call);
    void probe(const exchange_ptr& call);
    nlohmann::json load();
    nlohmann::json describe_counts(bool with_keys) const;

    event_base* base;
    random_engine random;
    time_point started;
    std::uint32_t running = 0;
    std::list<run> runs;
    std::list<std::unique_ptr<timer>> probes;
    std::unordered_map<std::string, std::uint32_t> runs_by_key;
    load_report reported;
    http_server http;
    std::string own_address;
};

} // namespace pistachiospan::standin

#endif
