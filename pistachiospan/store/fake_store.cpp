#include "pistachiospan/store/fake_store.hpp"

#include <algorithm>
#include <set>

namespace pistachiospan::store::testing
{

row memory_store::current(const std::string& key) const
{
    const auto found = this->rows.find(key);
    return found == this->rows.end() ? row{.key = key} : found->second;
}

std::optional<row> memory_store::get(const std::string& key) const
{
    const auto found = this->rows.find(key);
    if (found == this->rows.end())
        return std::nullopt;
    return found->second;
}

std::vector<row> memory_store::scan(const std::string& prefix) const
{
    std::vector<row> found;
    for (auto at = this->rows.lower_bound(prefix);
         at != this->rows.end() && at->first.starts_with(prefix); ++at)
        found.push_back(at->second);
    return found;
}

result<transaction_outcome>
memory_store::transact(const std::vector<conditional_write>& writes)
{
    std::set<std::string_view> keys;
    transaction_outcome conflicts;
    for (const conditional_write& write : writes)
    {
        if (!keys.insert(write.key).second)
            return failure(errc::invalid_argument, "two writes of row " + write.key +
                                                       " in one transaction; merge them");
        row current_row = this->current(write.key);
        if (current_row.rev != write.expected)
            conflicts.rows.push_back(std::move(current_row));
    }
    if (!conflicts.rows.empty())
        return conflicts;

    transaction_outcome outcome{.committed = true};
    for (const conditional_write& write : writes)
    {
        if (write.remove)
            this->rows.erase(write.key);
        else
            this->rows[write.key] = {write.key, write.value, ++this->last_revision};
        outcome.rows.push_back(this->current(write.key));
    }
    return outcome;
}

void memory_store::put_object(const std::string& name, std::string bytes)
{
    this->objects[name] = std::move(bytes);
}

result<std::string> memory_store::get_object(const std::string& name) const
{
    const auto found = this->objects.find(name);
    if (found == this->objects.end())
        return failure(errc::not_found, "no object " + name + "; check the name");
    return found->second;
}

std::vector<vm_entry> memory_vm_list::latest_entries() const
{
    return this->history.empty() ? std::vector<vm_entry>{}
                                 : this->history.rbegin()->second;
}

void memory_vm_list::set(time_point now, std::vector<vm_entry> entries)
{
    this->history[now] = std::move(entries);
    const auto first_kept = this->history.upper_bound(now - max_vm_list_lag);
    if (first_kept != this->history.begin())
        this->history.erase(this->history.begin(), std::prev(first_kept));
}

void memory_vm_list::add(time_point now, vm_entry entry)
{
    std::vector<vm_entry> entries = this->latest_entries();
    std::erase_if(entries, [&](const vm_entry& known) { return known.id == entry.id; });
    entries.push_back(std::move(entry));
    this->set(now, std::move(entries));
}

result<bool> memory_vm_list::mark_leaving(time_point now, const vm_id& id, bool leaving)
{
    std::vector<vm_entry> entries = this->latest_entries();
    const auto found = std::ranges::find(entries, id, &vm_entry::id);
    if (found == entries.end())
        return failure(errc::not_found, "no VM " + id.value + "; add it first");
    found->leaving = leaving;
    this->set(now, std::move(entries));
    return true;
}

void memory_vm_list::remove(time_point now, const vm_id& id)
{
    std::vector<vm_entry> entries = this->latest_entries();
    std::erase_if(entries, [&](const vm_entry& known) { return known.id == id; });
    this->set(now, std::move(entries));
}

std::vector<vm_entry> memory_vm_list::list(time_point now, duration lag) const
{
    const auto first_later = this->history.upper_bound(now - lag);
    return first_later == this->history.begin() ? std::vector<vm_entry>{}
                                                : std::prev(first_later)->second;
}

fake_platform::fake_platform(fake_platform_options options)
    : clock(options.start), random(options.seed)
{
}

void fake_platform::schedule(time_point when, std::function<void()> action)
{
    this->events.emplace(when, std::move(action));
}

std::optional<time_point> fake_platform::next_event() const
{
    if (this->events.empty())
        return std::nullopt;
    return this->events.begin()->first;
}

void fake_platform::advance(time_point now)
{
    while (!this->events.empty() && this->events.begin()->first <= now)
    {
        auto event = this->events.extract(this->events.begin());
        this->clock = std::max(this->clock, event.key());
        event.mapped()();
    }
    this->clock = std::max(this->clock, now);
}

// One pending call. `done` is empty once the handler was called.
template <class T>
struct fake_store::call
{
    std::weak_ptr<fake_store*> owner;
    fake_platform& platform;
    faults link; // copied at the call; used once the owner is destroyed
    kind type;
    std::function<result<T>()> effect;
    handler<T> done;
    time_point answer_due;

    void finish(result<T> outcome)
    {
        if (this->owner.expired() || !this->done)
            return;
        const handler<T> callback = std::exchange(this->done, nullptr);
        callback(std::move(outcome));
    }

    // Ends a call that has no response although its request may have arrived.
    void finish_unanswered()
    {
        if (this->type == kind::write)
            this->finish(
                failure(errc::unknown_outcome,
                        "no response to a write; read the rows before repeating"));
        else
            this->finish(
                failure(errc::unavailable, "no response to a read; repeat later"));
    }

    faults& link_faults()
    {
        const auto live_owner = this->owner.lock();
        return live_owner ? (*live_owner)->link : this->link;
    }

    bool consume_fault(std::uint32_t faults::*counter)
    {
        for (faults* side : {&this->link_faults(), &this->platform.service})
        {
            if (this->type != kind::write || side->*counter == 0)
                continue;
            --(side->*counter);
            return true;
        }
        return false;
    }

    bool has_fault(bool faults::*flag)
    {
        return this->link_faults().*flag || this->platform.service.*flag;
    }
};

fake_store::fake_store(fake_platform& platform)
    : self(std::make_shared<fake_store*>(this)), platform(platform)
{
}

fake_store::~fake_store() = default;

duration fake_store::draw_latency()
{
    const duration jitter = this->link.jitter + this->platform.service.jitter;
    const duration fixed = this->link.latency + this->platform.service.latency;
    std::uniform_int_distribution<duration::rep> extra(0, jitter.count());
    return fixed + duration(extra(this->platform.random));
}

template <class T>
void fake_store::start(kind type, std::function<result<T>()> effect, handler<T> done)
{
    const time_point now = this->platform.now();
    const duration latency = this->draw_latency();
    auto pending = std::make_shared<call<T>>(call<T>{.owner = this->self,
                                                     .platform = this->platform,
                                                     .link = this->link,
                                                     .type = type,
                                                     .effect = std::move(effect),
                                                     .done = std::move(done),
                                                     .answer_due = now + latency});
    this->platform.schedule(now + latency / 2, [pending] { arrive(pending); });
    this->platform.schedule(now + this->timeout,
                            [pending] { pending->finish_unanswered(); });
}

template <class T>
void fake_store::arrive(const std::shared_ptr<call<T>>& pending)
{
    if (pending->has_fault(&faults::silent) ||
        pending->consume_fault(&faults::lose_requests))
        return;
    if (pending->has_fault(&faults::refuse))
    {
        pending->finish(
            failure(errc::unavailable, "the platform refuses connections; repeat later"));
        return;
    }
    if (pending->has_fault(&faults::overloaded))
    {
        pending->finish(
            failure(errc::limit_exceeded, "the platform is overloaded; repeat later"));
        return;
    }
    call_counts& counts = pending->platform.counts;
    ++(pending->type == kind::write ? counts.writes : counts.reads);
    result<T> outcome = pending->effect();
    if (pending->consume_fault(&faults::lose_answers))
        return;
    pending->platform.schedule(pending->answer_due,
                               [pending, outcome = std::move(outcome)]
                               {
                                   if (pending->has_fault(&faults::silent))
                                       return;
                                   if (pending->has_fault(&faults::refuse))
                                       pending->finish_unanswered();
                                   else
                                       pending->finish(outcome);
                               });
}

void fake_store::get(std::string key, handler<std::optional<row>> done)
{
    const auto effect = [&data = this->platform.data, key = std::move(key)]
    {
        return result<std::optional<row>>(data.get(key));
    };
    this->start<std::optional<row>>(kind::read, effect, std::move(done));
}

void fake_store::scan(std::string prefix, handler<std::vector<row>> done)
{
    const auto effect = [&data = this->platform.data, prefix = std::move(prefix)]
    {
        return result<std::vector<row>>(data.scan(prefix));
    };
    this->start<std::vector<row>>(kind::read, effect, std::move(done));
}

void fake_store::transact(std::vector<conditional_write> writes,
                          handler<transaction_outcome> done)
{
    const auto effect = [&data = this->platform.data, writes = std::move(writes)]
    {
        return data.transact(writes);
    };
    this->start<transaction_outcome>(kind::write, effect, std::move(done));
}

void fake_store::put(std::string name, std::string bytes, handler<bool> done)
{
    const auto effect =
        [&data = this->platform.data, name = std::move(name), bytes = std::move(bytes)]
    {
        data.put_object(name, bytes);
        return result<bool>(true);
    };
    this->start<bool>(kind::write, effect, std::move(done));
}

void fake_store::get(std::string name, handler<std::string> done)
{
    const auto effect = [&data = this->platform.data, name = std::move(name)]
    {
        return data.get_object(name);
    };
    this->start<std::string>(kind::read, effect, std::move(done));
}

void fake_store::list(handler<std::vector<vm_entry>> done)
{
    const auto effect = [&platform = this->platform]
    {
        return result<std::vector<vm_entry>>(
            platform.vms.list(platform.now(), platform.vm_list_lag));
    };
    this->start<std::vector<vm_entry>>(kind::read, effect, std::move(done));
}

} // namespace pistachiospan::store::testing
