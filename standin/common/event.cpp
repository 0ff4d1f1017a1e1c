#include "standin/common/event.hpp"

#include <netinet/in.h>

#include <charconv>
#include <csignal>
#include <stdexcept>

namespace pistachiospan::standin
{

void libevent_deleter::operator()(event_base* target) const
{
    event_base_free(target);
}

void libevent_deleter::operator()(event* target) const
{
    event_free(target);
}

void libevent_deleter::operator()(evhttp* target) const
{
    evhttp_free(target);
}

void libevent_deleter::operator()(evhttp_connection* target) const
{
    evhttp_connection_free(target);
}

event_owner<event_base> make_loop()
{
    // A cut connection ends in a write error instead of the end of the process.
    std::signal(SIGPIPE, SIG_IGN);
    // Without the flag, timers have a resolution of 1 ms.
    const std::unique_ptr<event_config, decltype(&event_config_free)> config(
        event_config_new(), &event_config_free);
    event_config_set_flag(config.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
    event_owner<event_base> base(event_base_new_with_config(config.get()));
    if (!base)
        throw std::runtime_error("no event loop; check the limit of open files");
    return base;
}

time_point now()
{
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(since_boot));
}

timer::timer(event_base* base, std::function<void()> action)
    : action(std::make_unique<std::function<void()>>(std::move(action))),
      pending(evtimer_new(base, &timer::run, this->action.get()))
{
}

void timer::start(duration span)
{
    const timeval left = to_timeval(std::max(span, duration::zero()));
    evtimer_add(this->pending.get(), &left);
}

void timer::stop()
{
    evtimer_del(this->pending.get());
}

void timer::run(int, short, void* self)
{
    // The action may destroy the timer, and with it the stored function.
    const std::function<void()> todo = *static_cast<std::function<void()>*>(self);
    todo();
}

std::string endpoint::text() const
{
    return this->host + ":" + std::to_string(this->port);
}

endpoint parse_loopback(const std::string& address)
{
    // evutil_parse_sockaddr_port refuses port 0, which asks for a free port.
    const std::size_t colon = address.rfind(':');
    if (colon != std::string::npos)
    {
        endpoint parsed{.host = address.substr(0, colon)};
        const char* const end = address.data() + address.size();
        const auto [stop, problem] =
            std::from_chars(address.data() + colon + 1, end, parsed.port);
        in_addr bits{};
        if (problem == std::errc() && stop == end &&
            evutil_inet_pton(AF_INET, parsed.host.c_str(), &bits) == 1 &&
            ntohl(bits.s_addr) >> 24U == IN_LOOPBACKNET)
            return parsed;
    }
    throw std::invalid_argument("address \"" + address +
                                "\" is not 127.x.y.z:port; stand-ins use loopback only");
}

void run_until_signal(event_base* base)
{
    const auto stop = [](int, short, void* loop)
    {
        event_base_loopexit(static_cast<event_base*>(loop), nullptr);
    };
    const event_owner<event> term(evsignal_new(base, SIGTERM, stop, base));
    const event_owner<event> interrupt(evsignal_new(base, SIGINT, stop, base));
    evsignal_add(term.get(), nullptr);
    evsignal_add(interrupt.get(), nullptr);
    event_base_dispatch(base);
}

} // namespace pistachiospan::standin
