#include "pistachiospan/scenario/scenario.hpp"

#include <boost/test/unit_test.hpp>

namespace pistachiospan::scenario
{

namespace
{

const std::string root = PISTACHIOSPAN_SOURCE_DIR;

const std::string set_up = "seed 3\n"
                           "catalogue examples/louche/catalogue.ini\n"
                           "fleet examples/louche/settings\n"
                           "repeat-lost on\n";

std::string problem_of(const std::string& text)
{
    const auto ran = run_script(text, "bad.scenario", root);
    return ran ? "" : ran.error().message;
}

} // namespace

// A misspelt statement that is passed over would test nothing.
BOOST_AUTO_TEST_CASE(refuses_bad_scripts_with_file_and_line)
{
    const std::string good = set_up + "end 2s\nexpect duplicates = 0\n";
    const std::pair<std::string, std::string> cases[] = {
        {"at 1s kil vm-1", "unknown statement"},
        {"at 1s kill vm-77", "unknown VM 'vm-77'"},
        {"at soon kill vm-1", "is no time"},
        {"at 1s load claims POST account=nobody rate=5/s for=1s", "unknown account"},
        {"at 1s load claims POST account=grand-chef rate=5 for=1s", "for example"},
        {"at 1s freeze vm-1", "for example"},
        {"at 3s kill vm-1", "raise 'end'"},
        {"at 1s drain upstream 127.0.0.1:1", "unknown upstream"},
        {"at 1s platform slow soon", "for example"},
        {"expect duplicates", "unknown expectation"},
        {"expect duplicates < 1", "no comparison"},
        {"expect over-rate nobody = 0", "unknown account"},
        {"x=1", "no statement"},
    };
    for (const auto& [line, expected] : cases)
    {
        const std::string problem = problem_of(good + line + '\n');
        BOOST_TEST_INFO(line);
        BOOST_TEST(problem.starts_with("bad.scenario:7: "));
        BOOST_TEST_INFO(problem);
        BOOST_TEST(problem.find(expected) != std::string::npos);
    }
    BOOST_TEST(problem_of(set_up).find("no expectation") != std::string::npos);
}

// A run that can't be repeated from its seed can't be examined.
BOOST_AUTO_TEST_CASE(equal_seeds_give_equal_summaries)
{
    const std::string text =
        set_up + "end 17s\n"
                 "at 10s load claims POST account=grand-chef rate=80/s for=5s "
                 "idempotency=issued\n"
                 "at 12s kill vm-3\n"
                 "at 13s loss 5%\n"
                 "expect duplicates = 0\n"
                 "expect answered claims >= 0%\n";
    const auto first = run_script(text, "twice", root);
    const auto second = run_script(text, "twice", root);
    BOOST_REQUIRE(first && second);
    BOOST_TEST(first.value().summary() == second.value().summary());
}

// Expectations that can't fail would prove nothing.
BOOST_AUTO_TEST_CASE(expectations_fail_when_they_should)
{
    const std::string text =
        set_up + "end 30s\n"
                 "at 24s load shifts GET account=petit-frigo rate=100/s for=4s\n"
                 "expect answered shifts >= 90%\n"
                 "expect refused code=rate_limited account=petit-frigo <= 1%\n"
                 "expect drained 127.0.0.1:12100 within 2s\n"
                 "expect left vm-1 within 5s\n"
                 "expect edits-accepted = 1\n"
                 "expect within 1s after 24s no answered account=petit-frigo\n"
                 "expect duplicates = 0\n";
    const auto ran = run_script(text, "failing", root);
    BOOST_REQUIRE(ran);
    BOOST_TEST(!ran.value().held());
    const auto& verdicts = ran.value().verdicts;
    BOOST_REQUIRE(verdicts.size() == 7);
    for (std::size_t index = 0; index < 6; ++index)
        BOOST_TEST(!verdicts[index].held, verdicts[index].text);
    BOOST_TEST(verdicts[6].held);
}

} // namespace pistachiospan::scenario
