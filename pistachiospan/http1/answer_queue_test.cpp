// Tests of the order of a connection's answers, and of the times at which its requests
// arrived.

#include "pistachiospan/http1/internal/answer_queue.hpp"
#include "pistachiospan/http1/internal/arrival_times.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>

using namespace pistachiospan;
using namespace std::chrono_literals;
using http1::internal::answer_framing;
using http1::internal::answer_queue;
using http1::internal::arrival_times;

namespace
{

struct sent_answer
{
    std::string body;
    answer_framing framing;
};

// A queue and the answers that it has sent.
struct fixture
{
    fixture()
        : queue(
              [this](const http1::response& due, const answer_framing& framing) {
                  this->sent.push_back({due.body, framing});
              })
    {
    }

    void put(http1::exchange_id exchange, bool close = false)
    {
        this->queue.put(exchange, {.status = 200, .body = std::to_string(exchange)},
                        close);
    }

    std::string bodies() const
    {
        std::string all;
        for (const sent_answer& each : this->sent)
            all += each.body + " ";
        return all;
    }

    std::vector<sent_answer> sent;
    answer_queue queue;
};

} // namespace

// Five reads of 0.2 s on one connection. Guards against answers that reach the caller in
// the order in which upstreams send them, and against ones that wait longer than needed.
BOOST_AUTO_TEST_CASE(answers_are_sent_in_the_order_of_the_requests)
{
    fixture all;
    for (http1::exchange_id each = 1; each <= 3; ++each)
        all.queue.add(each, {});
    all.put(3);
    all.put(2);
    BOOST_TEST(all.bodies() == "");
    BOOST_TEST(all.queue.unanswered() == 1U);
    BOOST_TEST(all.queue.waiting_bytes() > 0U);
    all.put(1);
    BOOST_TEST(all.bodies() == "1 2 3 ");
    BOOST_TEST(all.queue.empty());
    BOOST_TEST(all.queue.waiting_bytes() == 0U);
}

// Guards against an answer that closes the connection before later requests, which have
// been passed on, are answered.
BOOST_AUTO_TEST_CASE(only_the_last_answer_closes)
{
    for (const http1::exchange_id closing : {1, 2, 3})
    {
        fixture all;
        for (http1::exchange_id each = 1; each <= 3; ++each)
            all.queue.add(each, {});
        for (const http1::exchange_id each : {2, 1, 3})
        {
            all.put(each, each == closing);
            BOOST_TEST((all.queue.closes() || each != closing));
        }
        BOOST_TEST(all.bodies() == "1 2 3 ");
        BOOST_TEST(!all.sent[0].framing.closes);
        BOOST_TEST(!all.sent[1].framing.closes);
        BOOST_TEST(all.sent[2].framing.closes);
    }
}

// Guards against a planned stop that closes a connection under requests that have been
// passed on, and one that never closes it.
BOOST_AUTO_TEST_CASE(last_present_request_closes_at_a_stop)
{
    fixture all;
    all.queue.add(1, {});
    all.queue.add(2, {});
    all.queue.close_after_present();
    BOOST_TEST(all.queue.closes());
    all.put(1);
    all.put(2);
    BOOST_TEST(!all.sent[0].framing.closes);
    BOOST_TEST(all.sent[1].framing.closes);
}

// Guards against a refusal of an unreadable request that overtakes earlier answers or
// closes the connection before them, and against a body in the answer to HEAD.
BOOST_AUTO_TEST_CASE(refusal_waits_for_its_turn)
{
    fixture all;
    all.queue.add(1, {.is_head_request = true});
    all.queue.add_refusal({.status = 400, .body = "refused"}, false);
    BOOST_TEST(all.queue.closes());
    BOOST_TEST(all.bodies() == "");
    BOOST_TEST(all.queue.unanswered() == 1U);
    all.put(1);
    BOOST_TEST(all.bodies() == "1 refused ");
    BOOST_TEST(all.sent[0].framing.is_head_request);
    BOOST_TEST(!all.sent[0].framing.closes);
    BOOST_TEST(!all.sent[1].framing.is_head_request);
    BOOST_TEST(all.sent[1].framing.closes);
}

// Guards against a second answer to a request that is sent for another one, and against
// the report of a disconnect for requests that have an answer.
BOOST_AUTO_TEST_CASE(each_request_is_answered_once)
{
    fixture all;
    all.queue.add(1, {});
    all.queue.add(2, {.body_bytes = 100});
    all.queue.add(3, {.body_bytes = 10});
    BOOST_TEST(all.queue.body_bytes() == 110U);
    all.put(2);
    all.put(2);
    all.put(7);
    BOOST_TEST(all.queue.body_bytes() == 10U);
    BOOST_TEST((all.queue.unanswered_ids() == std::vector<http1::exchange_id>{1, 3}));
    all.put(1);
    all.put(1);
    BOOST_TEST(all.bodies() == "1 2 ");
}

// Guards against an order of answers, of any number of requests, in which one is out of
// its turn, lost, doubled, or closes the connection too early.
BOOST_AUTO_TEST_CASE(any_order_of_answers_keeps_the_order_of_the_requests)
{
    const bool held = rc::check(
        [](const std::vector<bool>& closing)
        {
            const std::size_t count = std::min<std::size_t>(closing.size(), 40);
            std::vector<http1::exchange_id> order(count);
            std::iota(order.begin(), order.end(), 1);
            for (std::size_t left = count; left > 1; --left)
                std::swap(order[left - 1],
                          order[*rc::gen::inRange<std::size_t>(0, left)]);
            fixture all;
            http1::exchange_id added = 0;
            const auto add_one = [&]
            {
                if (added < count && !all.queue.closes())
                    all.queue.add(++added, {.body_bytes = 1});
            };
            // Requests are added between the answers.
            for (const http1::exchange_id next : order)
            {
                while (added < next && !all.queue.closes())
                    add_one();
                if (next <= added)
                    all.put(next, closing[next - 1]);
                const std::vector<http1::exchange_id> open = all.queue.unanswered_ids();
                RC_ASSERT(open.size() == all.queue.unanswered());
                RC_ASSERT(all.queue.body_bytes() == open.size());
                // What was sent is exactly what comes before the first open one.
                RC_ASSERT(all.sent.size() == (open.empty() ? added : open.front() - 1));
                RC_ASSERT((all.queue.waiting_bytes() == 0) ==
                          (added - all.sent.size() == open.size()));
            }
            for (const http1::exchange_id each : all.queue.unanswered_ids())
                all.put(each);
            RC_ASSERT(all.queue.empty());
            RC_ASSERT(all.sent.size() == added);
            for (std::size_t each = 0; each < all.sent.size(); ++each)
            {
                RC_ASSERT(all.sent[each].body == std::to_string(each + 1));
                const bool is_last = each + 1 == all.sent.size();
                RC_ASSERT(all.sent[each].framing.closes ==
                          (is_last && all.queue.closes()));
            }
        });
    BOOST_TEST(held);
}

// Guards against a request whose time counts from when it is parsed, although it has
// waited in the read-ahead.
BOOST_AUTO_TEST_CASE(time_of_a_request_counts_from_its_first_byte)
{
    constexpr time_point start(100s);
    arrival_times arrivals;
    BOOST_TEST(!arrivals.oldest().has_value());
    arrivals.note(start, 30);
    arrivals.note(start + 100ms, 50);
    BOOST_TEST((arrivals.oldest() == start));
    arrivals.consume(29);
    BOOST_TEST((arrivals.oldest() == start));
    arrivals.consume(1);
    BOOST_TEST((arrivals.oldest() == start + 100ms));
    arrivals.note(start + 200ms, 20);
    arrivals.consume(20);
    BOOST_TEST(!arrivals.oldest().has_value());
    arrivals.note(start + 300ms, 5);
    BOOST_TEST((arrivals.oldest() == start + 300ms));
}

// A caller sends byte by byte. Guards against memory that grows with each byte, and
// against bytes that are taken for older than they are beyond the last kept time.
BOOST_AUTO_TEST_CASE(times_of_many_small_pieces_are_bounded)
{
    constexpr time_point start(100s);
    arrival_times arrivals;
    const std::size_t count = 10 * arrival_times::max_times;
    for (std::size_t each = 0; each < count; ++each)
        arrivals.note(start + each * 1ms, each + 1);
    arrivals.consume(count - 1);
    BOOST_TEST((arrivals.oldest() == start + (arrival_times::max_times - 1) * 1ms));
    arrivals.consume(1);
    BOOST_TEST(!arrivals.oldest().has_value());
}
