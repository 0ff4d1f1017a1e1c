#include "standin/load/load_run.hpp"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <stdexcept>

namespace pistachiospan::standin
{

namespace
{

// A caller waits this much longer than its deadline, which the other side measures.
constexpr duration deadline_grace = std::chrono::milliseconds(500);
constexpr duration lookup_timeout = std::chrono::milliseconds(500);
constexpr duration lookup_pause = std::chrono::milliseconds(100);
constexpr duration counts_timeout = std::chrono::seconds(20);
// Least pause before a repeat; doubles with each repeat of a lost request.
constexpr duration repeat_pause = std::chrono::milliseconds(50);
constexpr int first_error_status = 400;

struct refusal
{
    std::string code;
    std::string ran;
    duration retry_after = duration::zero();
};

refusal read_refusal(const pool_answer& answer)
{
    refusal read{.code = "http_" + std::to_string(answer.status),
                 .ran = answer.not_run ? "no" : "unknown"};
    const nlohmann::json body =
        nlohmann::json::parse(answer.body.head(), nullptr, /*allow_exceptions=*/false);
    double seconds = 0;
    const char* const end = answer.retry_after.data() + answer.retry_after.size();
    std::from_chars(answer.retry_after.data(), end, seconds);
    read.retry_after =
        std::chrono::round<duration>(std::chrono::duration<double>(seconds));
    if (!body.is_object())
        return read;
    if (body.contains("code") && body["code"].is_string())
        read.code = body["code"].get<std::string>();
    if (body.contains("ran") && body["ran"].is_string())
        read.ran = body["ran"].get<std::string>();
    // The header has whole seconds; the later of both is never too early.
    if (body.contains("retry_after_ms") && body["retry_after_ms"].is_number())
        read.retry_after = std::max<duration>(
            read.retry_after,
            std::chrono::milliseconds(body["retry_after_ms"].get<std::int64_t>()));
    return read;
}

std::string hexadecimal(std::uint64_t value)
{
    std::array<char, 16> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value, 16).ptr;
    return {text.data(), end};
}

std::string whole_milliseconds(duration span)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

} // namespace

// One request of a caller, with its repeats.
struct load_run::operation
{
    std::string id;
    std::size_t account = 0;
    std::size_t route = 0;
    bool is_post = false;
    std::uint64_t body_bytes = 0;
    std::string key; // Idempotency-Key, set with the first attempt of a POST
    time_point scheduled;
    time_point deadline;
    std::string address; // of the last attempt
    std::uint32_t attempts = 0;
    bool may_have_run = false;
    std::unique_ptr<timer> pause;
    time_point sent; // of the first attempt
};

load_run::load_run(event_base* base, load_options options, std::function<void()> done)
    : base(base), options(std::move(options)), done(std::move(done)),
      random(this->options.seed),
      pool(base, {.max_connections = this->options.connections}),
      sending(base, [this] { this->stop(); }),
      second(base, [this] { this->report_progress(); }), started(now())
{
    this->check_options();
    constexpr std::size_t run_id_bytes = 4;
    if (this->options.run_id.empty())
        this->options.run_id = random_hex(run_id_bytes);
    this->sending.start(this->options.max_time);
    this->second.start(std::chrono::seconds(1));
    for (std::size_t account = 0; account < this->options.accounts.size(); ++account)
    {
        this->result.accounts[this->options.accounts[account].name];
        if (this->options.closed_loop > 0)
            continue;
        this->schedule.push_back({.next = this->started,
                                  .pending = std::make_unique<timer>(
                                      base, [this, account] { this->arrive(account); })});
        this->schedule.back().pending->start(duration::zero());
    }
    for (std::uint32_t line = 0; line < this->options.closed_loop; ++line)
        this->start(line % this->options.accounts.size(), this->started);
}

load_run::~load_run() = default;

void load_run::check_options() const
{
    if (this->options.accounts.empty() || this->options.routes.empty())
        throw std::invalid_argument("no load; name at least one account and one route");
    if (this->options.direct.empty() && this->options.entries.empty())
        throw std::invalid_argument("no destination; give an entry VM or --direct");
    for (const load_account& each : this->options.accounts)
        if (this->options.closed_loop == 0 && !(each.rate > 0))
            throw std::invalid_argument("account " + each.name +
                                        " has no rate; give one above 0");
}

bool load_run::may_send() const
{
    return this->is_sending && this->next_id < this->options.max_requests;
}

// Starts all requests that are due: an open loop never waits for answers.
void load_run::arrive(std::size_t account)
{
    arrivals& own = this->schedule[account];
    std::exponential_distribution<> gap(this->options.accounts[account].rate);
    const time_point present = now();
    while (own.next <= present && this->may_send())
    {
        if (this->in_progress >= this->options.max_in_progress)
            ++this->result.not_sent;
        else
            this->start(account, own.next);
        own.next +=
            std::chrono::ceil<duration>(std::chrono::duration<double>(gap(this->random)));
    }
    if (this->may_send())
        own.pending->start(own.next - now());
    else
        this->stop();
}

void load_run::start(std::size_t account, time_point scheduled)
{
    auto work = std::make_shared<operation>();
    const std::uint64_t number = this->next_id++;
    work->id = this->options.run_id + "-" + std::to_string(number);
    work->account = account;
    work->route = std::uniform_int_distribution<std::size_t>(
        0, this->options.routes.size() - 1)(this->random);
    std::uniform_real_distribution<> share;
    work->is_post = share(this->random) < this->options.post_share;
    const bool is_large = share(this->random) < this->options.large_share;
    if (work->is_post)
        work->body_bytes = std::max<std::uint64_t>(is_large ? this->options.large_bytes
                                                            : this->options.body_bytes,
                                                   work->id.size() + 1);
    work->scheduled = scheduled;
    work->deadline = scheduled + this->options.deadline;
    ++this->in_progress;
    ++this->result.counts.sent;
    ++this->result.accounts[this->options.accounts[account].name].counts.sent;
    this->send(work);
}

void load_run::send(const operation_ptr& work)
{
    if (this->options.direct.empty())
        this->send_through_entry(work);
    else
        this->send_direct(work);
}

void load_run::send_direct(const operation_ptr& work)
{
    work->address = this->options.direct;
    this->attempt(work);
}

void load_run::send_through_entry(const operation_ptr& work)
{
    const std::string& route = this->options.routes[work->route].name;
    this->renew(route);
    if (!this->known.is_usable(route, now()))
    {
        this->waiting[route].push_back(work);
        return;
    }
    work->address = this->known.pick(route, work->address, this->random)->address;
    this->attempt(work);
}

std::string load_run::account_upstream(const operation& work) const
{
    return this->options.anonymous ? "" : this->options.accounts[work.account].name;
}

pool_request load_run::make_request(const operation& work)
{
    const load_account& account = this->options.accounts[work.account];
    const duration left = work.deadline - now();
    pool_request request{
        .address = work.address,
        .target = this->options.routes[work.route].path +
                  "?answer_bytes=" + std::to_string(this->options.answer_bytes),
        .headers = {{"X-Request-Id", work.id},
                    {"X-Deadline-Ms", whole_milliseconds(left)}},
        .timeout = left + deadline_grace};
    if (this->options.direct.empty() && !this->options.anonymous)
        request.headers.emplace_back("X-Client-Key", account.key);
    if (!this->options.direct.empty() && !this->options.anonymous)
        request.headers.emplace_back("X-Client-Account", account.name);
    if (!work.is_post)
        return request;
    request.method = EVHTTP_REQ_POST;
    request.headers.emplace_back("Idempotency-Key", work.key);
    request.body_head = work.id + "\n";
    request.body_filler = work.body_bytes - request.body_head.size();
    return request;
}

void load_run::attempt(const operation_ptr& work)
{
    const time_point present = now();
    if (work->attempts == 0)
    {
        work->sent = present;
        this->result.largest_send_delay =
            std::max(this->result.largest_send_delay, present - work->scheduled);
    }
    if (present >= work->deadline)
    {
        this->ended_lost(work, present);
        return;
    }
    if (work->is_post && work->key.empty())
        work->key = this->known.key_prefix(this->options.routes[work->route].name) +
                    this->options.run_id + "-" + hexadecimal(this->random());
    ++work->attempts;
    ++this->result.attempts;
    this->pool.call(this->make_request(*work), [this, work](const pool_answer& answer)
                    { this->ended(work, answer); });
}

void load_run::ended(const operation_ptr& work, const pool_answer& answer)
{
    if (answer.end == pool_end::answered && answer.status < first_error_status)
        this->ended_answered(work, answer);
    else if (answer.end == pool_end::answered)
        this->ended_refused(work, answer);
    else
    {
        work->may_have_run = work->may_have_run || answer.end != pool_end::not_connected;
        this->ended_lost(work, answer.ended);
    }
}

void load_run::ended_answered(const operation_ptr& work, const pool_answer& answer)
{
    account_report& account =
        this->result.accounts[this->options.accounts[work->account].name];
    std::optional<std::string> problem =
        answer.body.verify({.request_id = work->id,
                            .account = this->account_upstream(*work),
                            .bytes_sent = work->body_bytes,
                            .answer_bytes = this->options.answer_bytes});
    if (!answer.request_id.empty() && answer.request_id != work->id)
        problem = "header of another request";
    if (problem)
    {
        ++this->result.problems[*problem];
        ++this->result.counts.wrong;
        ++account.counts.wrong;
    }
    else
    {
        for (outcome_counts* each : {&this->result.counts, &account.counts})
        {
            ++each->answered;
            each->late += answer.ended > work->deadline ? 1 : 0;
        }
        const duration latency = answer.ended - work->scheduled;
        this->result.latency.add(latency);
        account.latency.add(latency);
        this->recent.add(latency);
    }
    if (work->is_post)
        this->told_by_key[this->account_upstream(*work) + " " + work->key] = {.answered =
                                                                                  true};
    this->conclude(work, answer.ended);
}

void load_run::ended_refused(const operation_ptr& work, const pool_answer& answer)
{
    const refusal reason = read_refusal(answer);
    const bool not_run = reason.ran == "no";
    work->may_have_run = work->may_have_run || !not_run;
    const duration pause = std::max(reason.retry_after, repeat_pause);
    if ((not_run || this->options.repeat_lost) && this->repeat(work, pause))
        return;
    const std::string& name = this->options.accounts[work->account].name;
    account_report& account = this->result.accounts[name];
    for (outcome_counts* each : {&this->result.counts, &account.counts})
    {
        ++each->refused;
        ++each->refusals[{reason.code, reason.ran}];
    }
    this->result.refusal_latency.add(answer.ended - work->scheduled);
    if (work->is_post)
        this->told_by_key[this->account_upstream(*work) + " " + work->key] = {
            .not_run = !work->may_have_run};
    this->conclude(work, answer.ended);
}

void load_run::ended_lost(const operation_ptr& work, time_point at)
{
    const duration pause = repeat_pause * (1U << std::min(work->attempts, 6U)) / 2;
    if ((!work->may_have_run || this->options.repeat_lost) && this->repeat(work, pause))
        return;
    ++this->result.counts.lost;
    ++this->result.accounts[this->options.accounts[work->account].name].counts.lost;
    this->conclude(work, at);
}

bool load_run::repeat(const operation_ptr& work, duration pause)
{
    if (work->attempts == 0 || work->attempts > this->options.max_repeats ||
        now() + pause >= work->deadline)
        return false;
    ++this->result.repeats;
    work->pause = std::make_unique<timer>(this->base, [this, work] { this->send(work); });
    work->pause->start(pause);
    return true;
}

void load_run::conclude(const operation_ptr& work, time_point at)
{
    work->pause.reset(); // owns a reference to the operation
    --this->in_progress;
    this->result.elapsed = at - this->started;
    if (this->options.closed_loop > 0 && this->may_send())
        this->start(work->account, at);
    this->finish_if_idle();
}

void load_run::renew(const std::string& route)
{
    if (!this->known.is_due(route, now()))
        return;
    std::vector<std::string> candidates = this->known.addresses();
    candidates.insert(candidates.end(), this->options.entries.begin(),
                      this->options.entries.end());
    const std::size_t turn = this->next_entry[route]++;
    this->pool.call({.address = candidates[turn % candidates.size()],
                     .target = lookup_target(route),
                     .timeout = lookup_timeout,
                     .keep_body = true},
                    [this, route](const pool_answer& answer)
                    {
                        if (answer.end != pool_end::answered || answer.status != HTTP_OK)
                            this->known.fail(route, now());
                        else if (const auto learnt =
                                     this->known.learn(route, answer.kept, now());
                                 !learnt)
                            ++this->result.problems[learnt.error().message];
                        this->result.lookups_failed = this->known.failed();
                        this->resume_waiting(route);
                    });
}

void load_run::resume_waiting(const std::string& route)
{
    std::deque<operation_ptr> ready;
    ready.swap(this->waiting[route]);
    for (const operation_ptr& work : ready)
    {
        if (this->known.is_usable(route, now()))
        {
            this->send(work);
            continue;
        }
        if (now() >= work->deadline)
        {
            this->ended_lost(work, now());
            continue;
        }
        // No look-up answer yet; try again after the pause between look-ups.
        work->pause =
            std::make_unique<timer>(this->base, [this, work] { this->send(work); });
        work->pause->start(lookup_pause);
    }
}

void load_run::stop()
{
    this->is_sending = false;
    for (arrivals& each : this->schedule)
        each.pending->stop();
    this->finish_if_idle();
}

void load_run::report_progress()
{
    this->second.start(std::chrono::seconds(1));
    const outcome_counts& all = this->result.counts;
    std::ostringstream line;
    const double seconds = std::chrono::duration<double>(now() - this->started).count();
    const auto milliseconds = [this](double share)
    {
        return std::chrono::duration<double, std::milli>(this->recent.percentile(share))
            .count();
    };
    line << "t " << static_cast<int>(seconds) << " s: sent "
         << all.sent - this->last_progress.sent << ", answered "
         << all.answered - this->last_progress.answered << ", refused "
         << all.refused - this->last_progress.refused << ", lost "
         << all.lost - this->last_progress.lost << ", wrong "
         << all.wrong - this->last_progress.wrong << ", in progress " << this->in_progress
         << ", median " << milliseconds(0.5) << " ms, p99 " << milliseconds(0.99)
         << " ms";
    this->last_progress = all;
    this->recent = {};
    if (this->options.progress)
        this->options.progress(line.str());
}

void load_run::finish_if_idle()
{
    if (this->may_send() || this->in_progress > 0 || this->is_finishing)
        return;
    this->is_finishing = true;
    this->sending.stop();
    this->second.stop();
    if (this->options.upstreams.empty())
        this->complete();
    else
        this->fetch_counts();
}

void load_run::fetch_counts()
{
    this->counts_pending = this->options.upstreams.size();
    for (const std::string& upstream : this->options.upstreams)
        this->pool.call({.address = upstream,
                         .target = "/counts?keys=1",
                         .timeout = counts_timeout,
                         .keep_body = true},
                        [this](const pool_answer& answer)
                        {
                            this->add_counts(answer);
                            if (--this->counts_pending > 0)
                                return;
                            if (!this->counts_failed)
                                this->check_runs();
                            this->complete();
                        });
}

void load_run::add_counts(const pool_answer& answer)
{
    const nlohmann::json counts =
        nlohmann::json::parse(answer.kept, nullptr, /*allow_exceptions=*/false);
    if (answer.end != pool_end::answered || !counts.is_object())
    {
        this->counts_failed = true;
        ++this->result.problems["an upstream did not answer /counts"];
        return;
    }
    this->result.check.over_slots += counts.value("over_slots", std::uint64_t{0});
    this->result.check.keys_seen += counts.value("keys_seen", std::uint64_t{0});
    for (const auto& [key, runs] : counts.at("keys").items())
        this->runs_by_key[key] += runs.get<std::uint64_t>();
}

void load_run::check_runs()
{
    run_check& check = this->result.check;
    check.is_done = true;
    // The upstreams also know the keys of earlier runs.
    for (const auto& [key, runs] : this->runs_by_key)
        if (key.find(this->options.run_id) != std::string::npos)
            check.duplicates += runs > 1 ? 1 : 0;
    for (const auto& [key, what] : this->told_by_key)
    {
        const bool ran = this->runs_by_key.contains(key);
        check.false_not_run += what.not_run && ran ? 1 : 0;
        check.answered_not_run += what.answered && !ran ? 1 : 0;
    }
}

void load_run::complete()
{
    if (this->done)
        this->done();
}

} // namespace pistachiospan::standin
