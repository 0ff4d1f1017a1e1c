#include "pistachiospan/event_loop/event_loop.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <csignal>

using namespace pistachiospan;
using namespace std::chrono_literals;

// Guards against a process that is ended by a signal which arrives while it starts,
// although it would stop gracefully.
BOOST_AUTO_TEST_CASE(signal_before_its_handler_is_handled)
{
    const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(),
                                                                       &event_base_free);
    event_loop::hold_signals(std::array{SIGTERM});
    std::raise(SIGTERM);
    bool handled = false;
    const auto finish = [&]
    {
        event_base_loopbreak(base.get());
    };
    const event_loop::signal_handler terminate(base.get(), SIGTERM,
                                               [&]
                                               {
                                                   handled = true;
                                                   finish();
                                               });
    event_loop::one_shot_timer limit(base.get(), finish);
    limit.start(1s);
    event_base_dispatch(base.get());
    BOOST_TEST(handled);
}
