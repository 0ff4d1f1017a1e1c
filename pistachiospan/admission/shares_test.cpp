#include "pistachiospan/admission/admission.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <numeric>

using namespace pistachiospan;
using namespace pistachiospan::admission;
using namespace std::chrono_literals;

namespace
{

std::vector<flow_demand> any_flows()
{
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 40);
    std::vector<flow_demand> flows;
    for (std::uint32_t at = 0; at < count; ++at)
        flows.push_back({.key = {.account = at, .priority = *rc::gen::inRange(0, 4)},
                         .demand = *rc::gen::inRange(1, 5000) / 100.0,
                         .cost = *rc::gen::inRange(1, 1000) / 1000.0});
    return flows;
}

double sum(const std::vector<double>& values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

void check(const char* what, const std::function<void()>& property)
{
    BOOST_TEST(rc::check(what, property));
}

} // namespace

BOOST_AUTO_TEST_CASE(division_properties)
{
    check("all room is used, and never more than there is",
          []
          {
              const auto flows = any_flows();
              const double room = *rc::gen::inRange(1, 50000) / 100.0;
              const auto divided = internal::divide(room, flows);
              double demand = 0;
              for (const flow_demand& each : flows)
                  demand += each.demand;
              const double expected = std::min(room, demand);
              RC_ASSERT(std::abs(sum(divided.allotted) - expected) < 1e-6 * room);
              RC_ASSERT(divided.is_restricted == (demand > room));
          });
    check("nobody with demand gets nothing, or more than the demand",
          []
          {
              const auto flows = any_flows();
              const auto divided =
                  internal::divide(*rc::gen::inRange(1, 50000) / 100.0, flows);
              for (std::size_t at = 0; at < flows.size(); ++at)
              {
                  RC_ASSERT(divided.allotted[at] > 0);
                  RC_ASSERT(divided.allotted[at] <= flows[at].demand * (1 + 1e-9));
              }
          });
    check("who gets less than the demand gets no less than others of its level, and less "
          "urgent ones only the minimum",
          []
          {
              const auto flows = any_flows();
              const double room = *rc::gen::inRange(1, 50000) / 100.0;
              const auto divided = internal::divide(room, flows);
              for (std::size_t at = 0; at < flows.size(); ++at)
              {
                  const int priority = flows[at].key.priority;
                  if (priority < divided.level)
                      RC_ASSERT(divided.allotted[at] == flows[at].demand);
                  if (divided.is_restricted && priority == divided.level &&
                      flows[at].demand > divided.share)
                      RC_ASSERT(divided.allotted[at] >= divided.share * (1 - 1e-9));
                  if (divided.is_restricted && priority > divided.level)
                      RC_ASSERT(divided.allotted[at] <=
                                std::max(room / 20, flows[at].cost / 2) + 1e-9);
              }
          });
}

// Guards against sums that depend on the order or the repetition of reports.
BOOST_AUTO_TEST_CASE(decisions_do_not_depend_on_order_and_repetition)
{
    check("order and repetition",
          []
          {
              std::vector<std::vector<service_report>> reports;
              for (int at = 0; at < *rc::gen::inRange(1, 8); ++at)
                  reports.push_back({{.service = 1,
                                      .room = {.placed = *rc::gen::inRange(0, 100) / 8.0,
                                               .failed = *rc::gen::inRange(0, 100) / 8.0},
                                      .flows = any_flows()}});
              const time_point now(1000s);
              coordinator once({});
              coordinator other({});
              for (std::size_t at = 0; at < reports.size(); ++at)
                  once.observe(now, std::to_string(at), reports[at]);
              for (int round = 0; round < 2; ++round)
                  for (std::size_t at = reports.size(); at-- > 0;)
                      other.observe(now, std::to_string(at), reports[at]);
              RC_ASSERT(once.news_for(now, "0") == other.news_for(now, "0"));
          });
}

BOOST_AUTO_TEST_CASE(messages_decode_to_what_was_encoded)
{
    const std::vector<service_report> reports = {
        {.service = 0xfffffff0,
         .room = {.placed = 1.5, .failed = 0.25, .late = 0.125, .usual = 2},
         .flows = {{.key = {7, 2}, .demand = 0.5, .cost = 0.12}}}};
    BOOST_TEST((decode_reports(encode(reports)).value() == reports));
    const std::vector<service_news> news = {
        {.service = 5,
         .is_restricted = true,
         .level = 1,
         .share = 0.25,
         .room = 12.5,
         .flows = {{.key = {7, 2}, .fraction = 0.5}}}};
    BOOST_TEST((decode_news(encode(news)).value() == news));
}

// Guards against a malformed message that ends the process or is taken for a number.
BOOST_AUTO_TEST_CASE(malformed_messages_are_rejected)
{
    const std::vector<service_report> reports = {
        {.service = 1, .room = {.placed = 1}, .flows = {{.key = {7, 2}, .demand = 0.5}}}};
    const std::string bytes = encode(reports);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        BOOST_TEST(!decode_reports(bytes.substr(0, size)).has_value());
    BOOST_TEST(!decode_reports("\x91\x96\x01\xff\x00\x00\x00\x90").has_value());
    BOOST_TEST(!decode_news("\xa1x").has_value());
}

// Bound of the control traffic at 42 VMs and 2 requests a second for each: 50 bytes a
// second each way on average. Room is short a part of the time; a report of a VM whose
// two requests a second are of three accounts must not exceed the bound even then.
BOOST_AUTO_TEST_CASE(messages_of_a_small_vm_are_short)
{
    const flow_demand flow{
        .key = {.account = 0xfedcba98, .priority = 1}, .demand = 0.1, .cost = 0.1};
    const std::vector<service_report> reports = {
        {.service = 0xfedcba98,
         .room = {.placed = 0.1, .failed = 0.1, .late = 0.1, .usual = 0.1},
         .flows = {flow, flow, flow}}};
    BOOST_TEST(encode(reports).size() <= 50U);
    const passing_flow passing{.key = flow.key, .fraction = 0.5};
    const std::vector<service_news> news = {{.service = 0xfedcba98,
                                             .is_restricted = true,
                                             .level = 1,
                                             .share = 0.2,
                                             .room = 40,
                                             .flows = {passing, passing, passing}}};
    BOOST_TEST(encode(news).size() <= 50U);
}
