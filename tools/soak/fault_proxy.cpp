#include "tools/soak/fault_proxy.hpp"

#include <algorithm>
#include <stdexcept>

namespace pistachiospan::soak
{

namespace
{

// Delayed bytes move on at the next of these ticks.
constexpr duration delay = std::chrono::milliseconds(150);

void reset(bufferevent* when_freed)
{
    http1::internal::reset_on_close(bufferevent_getfd(when_freed));
}

} // namespace

fault_proxy::fault_proxy(event_base* base, const std::string& listen, std::string target)
    : base(base), target(std::move(target)),
      ticker(base, delay, [this] { this->flush(); }),
      listener(nullptr, &evconnlistener_free)
{
    const sockaddr_in local = http1::internal::parse_address(listen);
    this->listener.reset(evconnlistener_new_bind(
        base, &fault_proxy::on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        256, reinterpret_cast<const sockaddr*>(&local), sizeof(local)));
    if (!this->listener)
        throw std::runtime_error("cannot listen on " + listen + "; free the address");
}

void fault_proxy::on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int,
                            void* self)
{
    auto& me = *static_cast<fault_proxy*>(self);
    const auto wrap = [&me](evutil_socket_t each)
    {
        return http1::internal::bufferevent_ptr(bufferevent_socket_new(
            me.base, each, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    };
    pair& made = me.open.emplace_back();
    made.owner = &me;
    made.near = wrap(socket);
    if (me.fault == link_fault::reset)
    {
        reset(made.near.get());
        me.open.pop_back();
        return;
    }
    made.far = wrap(-1);
    bufferevent_setcb(made.near.get(), &fault_proxy::on_near, nullptr,
                      &fault_proxy::on_event, &made);
    bufferevent_setcb(made.far.get(), &fault_proxy::on_far, nullptr,
                      &fault_proxy::on_event, &made);
    const sockaddr_in to = http1::internal::parse_address(me.target);
    bufferevent_enable(made.near.get(), EV_READ | EV_WRITE);
    bufferevent_enable(made.far.get(), EV_READ | EV_WRITE);
    bufferevent_socket_connect(made.far.get(), reinterpret_cast<const sockaddr*>(&to),
                               sizeof(to));
}

void fault_proxy::on_near(bufferevent*, void* user)
{
    auto& of = *static_cast<pair*>(user);
    of.owner->move(of, of.near.get(), of.far.get(), false);
}

void fault_proxy::on_far(bufferevent*, void* user)
{
    auto& of = *static_cast<pair*>(user);
    of.owner->move(of, of.far.get(), of.near.get(), true);
}

void fault_proxy::add_copy(pair& of, evbuffer* input)
{
    const std::size_t before = of.copy.size();
    const std::size_t size = evbuffer_get_length(input);
    of.copy.resize(before + size);
    evbuffer_copyout(input, of.copy.data() + before, size);
}

void fault_proxy::send_copy(pair& of)
{
    bufferevent_write(of.near.get(), of.copy.data(), of.copy.size());
    of.copy.clear();
}

void fault_proxy::move(pair& of, bufferevent* from, bufferevent* to, bool from_far)
{
    evbuffer* input = bufferevent_get_input(from);
    const bool lost = of.spoiled || this->fault == link_fault::silent ||
                      (from_far && this->fault == link_fault::one_way);
    if (lost && evbuffer_get_length(input) > 0)
    {
        of.spoiled = true;
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    if (this->fault == link_fault::delayed)
        return;
    if (from_far && this->repeating)
        add_copy(of, input);
    if (!from_far)
        send_copy(of);
    bufferevent_write_buffer(to, input);
}

void fault_proxy::flush()
{
    for (pair& each : this->open)
    {
        bufferevent_write_buffer(each.far.get(), bufferevent_get_input(each.near.get()));
        bufferevent_write_buffer(each.near.get(), bufferevent_get_input(each.far.get()));
    }
}

void fault_proxy::on_event(bufferevent* from, short what, void* user)
{
    auto& ended = *static_cast<pair*>(user);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
        return;
    fault_proxy& me = *ended.owner;
    const bool near_left = from == ended.near.get();
    bufferevent* other = near_left ? ended.far.get() : ended.near.get();
    // The last bytes go on before the end does.
    if (!ended.spoiled)
        bufferevent_write_buffer(other, bufferevent_get_input(from));
    if ((what & BEV_EVENT_ERROR) != 0)
        reset(other);
    else
        bufferevent_flush(other, EV_WRITE, BEV_FLUSH);
    const auto at =
        std::ranges::find_if(me.open, [&](const pair& each) { return &each == &ended; });
    me.open.erase(at);
}

void fault_proxy::set_fault(link_fault next)
{
    this->fault = next;
    if (next != link_fault::reset)
        return;
    for (pair& each : this->open)
    {
        reset(each.near.get());
        reset(each.far.get());
    }
    this->open.clear();
}

} // namespace pistachiospan::soak
