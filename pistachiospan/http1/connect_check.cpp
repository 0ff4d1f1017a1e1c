#include "pistachiospan/http1/internal/connect_check.hpp"

#include <event2/util.h>

#include <cerrno>
#include <utility>

namespace pistachiospan::http1::internal
{

connect_checks::pending_check::pending_check(connect_checks& owner,
                                             std::function<void(connect_outcome)> done)
    : owner(owner), done(std::move(done)),
      timer(owner.base, [this] { this->owner.finish(*this, connect_outcome::unclear); })
{
}

void connect_checks::start(const std::string& address, duration timeout,
                           std::function<void(connect_outcome)> done)
{
    pending_check& check = this->pending.emplace_back(*this, std::move(done));
    check.self = std::prev(this->pending.end());
    const auto remote = try_parse_address(address);
    check.timer.start(remote ? timeout : duration(0));
    if (!remote)
        return;
    check.socket.reset(bufferevent_socket_new(
        this->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    bufferevent_setcb(check.socket.get(), nullptr, nullptr, &connect_checks::on_event,
                      &check);
    bufferevent_socket_connect(
        check.socket.get(), reinterpret_cast<const sockaddr*>(&*remote), sizeof(*remote));
}

void connect_checks::on_event(bufferevent*, short what, void* user)
{
    const int code = EVUTIL_SOCKET_ERROR();
    event_loop::run_guarded(
        [what, code, &check = *static_cast<pending_check*>(user)]
        {
            connect_outcome outcome = connect_outcome::unclear;
            if ((what & BEV_EVENT_CONNECTED) != 0)
                outcome = connect_outcome::accepted;
            else if (code == ECONNREFUSED)
                outcome = connect_outcome::refused;
            check.owner.finish(check, outcome);
        });
}

void connect_checks::finish(pending_check& check, connect_outcome outcome)
{
    const std::function<void(connect_outcome)> done = std::move(check.done);
    this->pending.erase(check.self);
    done(outcome);
}

} // namespace pistachiospan::http1::internal
