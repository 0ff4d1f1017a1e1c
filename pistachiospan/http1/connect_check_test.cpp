// Connections that only show whether a server listens.

#include "pistachiospan/event_loop/event_loop.hpp"
#include "pistachiospan/http1/http1.hpp"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>

using namespace pistachiospan;
using namespace std::chrono_literals;

namespace
{

const std::string address = "127.0.0.1:18939";

http1::connect_outcome check(event_base* base, const std::string& checked)
{
    http1::client client(base, {});
    std::optional<http1::connect_outcome> outcome;
    client.check_connect(checked, 300ms,
                         [&](http1::connect_outcome seen)
                         {
                             outcome = seen;
                             event_base_loopbreak(base);
                         });
    BOOST_TEST(!outcome.has_value());
    event_base_dispatch(base);
    return outcome.value();
}

} // namespace

// Guards against an upstream that is taken for ended although it listens, or the other
// way round.
BOOST_AUTO_TEST_CASE(check_tells_a_listening_server_from_none)
{
    const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(),
                                                                       &event_base_free);
    BOOST_CHECK(check(base.get(), address) == http1::connect_outcome::refused);
    {
        const http1::server listening(base.get(), address, {});
        BOOST_CHECK(check(base.get(), address) == http1::connect_outcome::accepted);
    }
    BOOST_CHECK(check(base.get(), address) == http1::connect_outcome::refused);
    BOOST_CHECK(check(base.get(), "no address") == http1::connect_outcome::unclear);
}
