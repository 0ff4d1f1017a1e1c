// Implementation of the executor.

#ifndef PISTACHIOSPAN_ONCE_INTERNAL_ENGINE_HPP
#define PISTACHIOSPAN_ONCE_INTERNAL_ENGINE_HPP

#include "pistachiospan/once/internal/shard.hpp"

#include <array>
#include <deque>

namespace pistachiospan::once
{

class executor::engine
{
public:
    engine(options opts, store::table& table, hooks outputs);

    void begin(time_point now, const request& incoming, decision_handler done);
    void finish(time_point now, attempt_id attempt, outcome result);
    void tick(time_point now);
    void receive(time_point now, const vm_id& from, std::string_view type,
                 const wire::body& body);
    void update_peers(time_point now, std::vector<peer> new_peers);
    void leave(time_point now);
    bool has_left() const;
    std::optional<std::string> issue_key(wall_time wall_now);
    std::size_t primary_count() const;

    std::size_t records_held = 0; // of all shards, with those of incoming transfers
    counters total;

private:
    struct waiter
    {
        time_point deadline;
        decision_handler done;
    };

    // An execution that is permitted or waits for acknowledgements.
    struct attempt
    {
        std::size_t shard = 0;
        internal::record_id id;
        internal::version number = 0;
        bool needs_backup = false;
        bool needs_joiner = false;
        bool permitted = false;
        time_point started;
        std::vector<waiter> waiters; // until permitted; then the first one executes
    };

    // A refusal that waits for an acknowledgement of the backup, whose lease allows to
    // report the request as not executed.
    struct pending_refusal
    {
        std::size_t shard = 0;
        internal::record_id id;
        time_point started;
        refusal reason;
        decision_handler done;
    };

    // A request that waits for a change of view.
    struct queued_request
    {
        std::string account;
        std::string key;
        request incoming;
        std::size_t shard = 0;
        time_point since;
        decision_handler done;
    };

    // Outcome of an attempt that the primary of a later view has not acknowledged yet.
    struct pending_resolution
    {
        internal::resolution value;
        time_point created;
        time_point last_sent;
    };

    struct peer_state
    {
        peer info;
        time_point live_since;
        time_point excluded_until; // not chosen as a new backup before this time
        duration exclusion{0};
    };

    using attempt_map = std::map<attempt_id, attempt>;

    // Requests (requests.cpp).
    void decide(time_point now, const request& incoming, bool may_wait,
                decision_handler done);
    void enqueue(time_point now, const request& incoming, std::size_t index,
                 decision_handler done);
    void retry_queued(time_point now, std::optional<std::size_t> only_shard);
    bool is_handing_over(const internal::shard& local_shard) const;
    bool has_pending(std::size_t index) const;
    std::optional<internal::view> prepare_handover(internal::shard& local_shard,
                                                   const internal::view& next);
    void send_delayed_ack(internal::shard& local_shard);
    void decide_elsewhere(time_point now, const request& incoming, std::size_t index,
                          const decision_handler& done);
    void decide_recorded(time_point now, const request& incoming, internal::record& found,
                         decision_handler done);
    std::optional<refusal> check_new(time_point now, const request& incoming,
                                     const internal::shard& local_shard,
                                     const internal::issued_key* issued);
    void start(time_point now, const request& incoming, std::size_t index,
               const internal::record_id& id, decision_handler done);
    void permit(time_point now, attempt_map::iterator found);
    void permit_if_acknowledged(time_point now, attempt_map::iterator found);
    attempt_map::iterator abandon(time_point now, attempt_map::iterator found,
                                  const refusal& reason);
    void record_outcome(time_point now, const attempt& ended, const outcome& result);
    void limit_size(outcome& result) const;
    void expire_waiters(time_point now);
    void refuse_or_defer(time_point now, std::size_t index, const internal::record_id& id,
                         refusal reason, decision_handler done);
    void answer_pending_refusals(time_point now);
    void sweep(time_point now, internal::shard& local_shard);
    bool serving(const internal::shard& local_shard, time_point now) const;
    bool exclusive(const internal::shard& local_shard, time_point now) const;
    execution_status provable_status(const internal::shard& local_shard,
                                     time_point now) const;
    void refuse(const decision_handler& done, refusal reason);
    void answer(const decision_handler& done, decision reply);
    void flush();

    // Replication (replication.cpp).
    void change(time_point now, internal::shard& local_shard,
                const internal::record_id& id, internal::record& updated,
                internal::record_state state);
    void replicate(time_point now, internal::shard& local_shard,
                   internal::replica& target, const internal::record_id& id,
                   const internal::record& updated);
    void send_update(time_point now, internal::shard& local_shard,
                     internal::replica& target, std::string_view type,
                     std::vector<internal::entry> entries);
    void send_part(time_point now, internal::shard& local_shard,
                   internal::replica& target);
    void resend(time_point now, internal::shard& local_shard, internal::replica& target);
    void on_update(time_point now, const vm_id& from, internal::update received);
    internal::ack_status locate_records(time_point now, const vm_id& from,
                                        const internal::update& received,
                                        internal::record_table*& target);
    internal::ack_status apply(time_point now, internal::record_table& target,
                               internal::update& received,
                               std::vector<internal::version>& acknowledged);
    void on_ack(time_point now, const vm_id& from, const internal::ack& received);
    void on_stored(time_point now, internal::shard& local_shard,
                   internal::replica& target, const internal::ack& received);
    void on_full(time_point now, internal::shard& local_shard, internal::replica& target,
                 const internal::ack& received);
    void queue_resolution(time_point now, const attempt& ended,
                          internal::record_state state, const outcome& result);
    void resend_resolutions(time_point now);
    void on_resolution(time_point now, const vm_id& from, internal::resolution received);
    void set_result(internal::record& updated, std::unique_ptr<outcome> result);
    void clear(internal::record_table& records);
    void send(const vm_id& to, std::string_view type, const wire::body& body);

    // Views (views.cpp).
    void maintain(time_point now, std::size_t index);
    void maintain_replicas(time_point now, internal::shard& local_shard);
    void observe_members(time_point now, internal::shard& local_shard);
    std::optional<internal::view> plan(time_point now, std::size_t index);
    std::optional<internal::view> plan_as_primary(time_point now, std::size_t index);
    std::optional<internal::view> plan_takeover(time_point now, std::size_t index);
    bool backup_lost(time_point now, const internal::shard& local_shard) const;
    bool replica_lost(time_point now, const internal::replica& target) const;
    void start_join(time_point now, std::size_t index);
    internal::member choose_joiner(time_point now, std::size_t index) const;
    bool should_move(time_point now, std::size_t index) const;
    void propose(time_point now, std::size_t index, const internal::view& next);
    void on_proposed(time_point now, std::size_t index, std::uint64_t call,
                     time_point sent, internal::view next,
                     const result<store::transaction_outcome>& done);
    void read_back(time_point now, std::size_t index);
    void on_row(time_point now, const store::row& row, time_point sent);
    void scan(time_point now);
    void rescan(time_point now);
    void adopt(time_point now, std::size_t index, const internal::view& next);
    void load_records(time_point now, internal::shard& local_shard);
    void become_primary(time_point now, internal::shard& local_shard, bool was_primary);
    void reconcile_attempts(time_point now, std::size_t index);
    void announce(std::size_t index);
    void announce_to(const vm_id& to, std::size_t index);
    const vm_id* preferred_primary(std::size_t index) const;
    std::size_t takeover_rank(std::size_t index) const;
    internal::member choose_backup(time_point now, std::size_t index,
                                   bool stable_only) const;
    bool is_live(const internal::member& who) const;
    bool is_replaced(const internal::member& who) const;
    bool is_leaving(const internal::member& who) const;
    void exclude(time_point now, const vm_id& who);
    void run_store_handlers(time_point now);

    // Makes a handler that queues the answer of the store until the next call that passes
    // a time.
    template <class T>
    store::handler<T>
    deferred_handler(std::function<void(time_point, const result<T>&)> handle)
    {
        return [this, handle = std::move(handle),
                exists = std::weak_ptr<bool>(this->alive)](result<T> answer)
        {
            if (exists.expired())
                return;
            this->store_answers.push_back([handle, answer = std::move(answer)](
                                              time_point now) { handle(now, answer); });
        };
    }

    options opts;
    store::table& table;
    hooks outputs;
    internal::member self;
    random_engine random;
    std::array<internal::shard, shard_count> shards;
    std::unordered_map<vm_id, peer_state> peers;
    std::optional<time_point> peers_known_since; // first call of update_peers()
    bool leaving = false;

    attempt_map attempts;
    attempt_id next_attempt = 1;
    std::map<std::uint64_t, pending_resolution> resolutions;
    std::vector<pending_refusal> pending_refusals;
    std::vector<queued_request> queued;
    std::uint64_t next_serial = 1;
    std::uint64_t next_key = 1;
    std::size_t kept_bytes = 0;
    std::size_t sweep_at = 0;
    duration scan_interval() const;

    time_point last_tick;
    time_point next_scan;
    time_point last_scan;
    std::optional<time_point> scanned_at; // send time of the latest answered scan
    std::uint64_t next_call = 1;
    time_point next_move;
    time_point last_balance;
    bool balance_due = false; // moves are considered in this tick

    std::deque<std::pair<decision_handler, decision>> answers;
    std::vector<std::function<void(time_point)>> store_answers;
    // Expires with this object, so that later answers of the store are dropped.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace pistachiospan::once

#endif
