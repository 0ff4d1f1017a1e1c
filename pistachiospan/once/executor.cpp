#include "pistachiospan/once/internal/engine.hpp"

namespace pistachiospan::once
{

std::uint64_t fingerprint(std::string_view method, std::string_view path,
                          std::string_view body)
{
    return hash_bytes(body, hash_bytes(path, hash_bytes(method)));
}

executor::executor(options opts, store::table& table, hooks outputs)
    : impl(std::make_unique<engine>(std::move(opts), table, std::move(outputs)))
{
}

executor::~executor() = default;

void executor::begin(time_point now, const request& incoming, decision_handler done)
{
    this->impl->begin(now, incoming, std::move(done));
}

void executor::finish(time_point now, attempt_id attempt, outcome result)
{
    this->impl->finish(now, attempt, std::move(result));
}

void executor::tick(time_point now)
{
    this->impl->tick(now);
}

void executor::receive(time_point now, const vm_id& from, std::string_view type,
                       const wire::body& body)
{
    this->impl->receive(now, from, type, body);
}

void executor::update_peers(time_point now, std::vector<peer> peers)
{
    this->impl->update_peers(now, std::move(peers));
}

void executor::leave(time_point now)
{
    this->impl->leave(now);
}

bool executor::has_left() const
{
    return this->impl->has_left();
}

std::optional<std::string> executor::issue_key(wall_time wall_now)
{
    return this->impl->issue_key(wall_now);
}

std::size_t executor::record_count() const
{
    return this->impl->records_held;
}

std::size_t executor::primary_count() const
{
    return this->impl->primary_count();
}

const counters& executor::totals() const
{
    return this->impl->total;
}

} // namespace pistachiospan::once
