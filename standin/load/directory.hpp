// Entry VMs that look-ups named, as a caller caches them: by route, for the answer's TTL.
//
// Example:
//
//     directory known;
//     if (known.is_due("katalog", now))
//         ... GET lookup_target("katalog"), then known.learn(...) or known.fail(...)
//     const std::optional<entry_vm> vm = known.pick("katalog", "", now, random);

#ifndef PISTACHIOSPAN_STANDIN_LOAD_DIRECTORY_HPP
#define PISTACHIOSPAN_STANDIN_LOAD_DIRECTORY_HPP

#include "pistachiospan/base/base.hpp"

#include <map>
#include <optional>
#include <vector>

namespace pistachiospan::standin
{

struct entry_vm
{
    std::string vm;
    std::string address;
    double weight = 0;
};

struct lookup_answer
{
    std::string route;
    std::int64_t ttl_ms = 0;
    std::vector<entry_vm> entry_vms;
    std::string idempotency_key_prefix;
};

void from_json(const nlohmann::json& in, lookup_answer& value);

std::string lookup_target(const std::string& route);

class directory
{
public:
    // True if a look-up should be sent now; the caller then reports its end. One look-up
    // of a route runs at a time.
    bool is_due(const std::string& route, time_point now);
    // Errors: invalid_argument if the text is not a look-up answer for this route.
    result<bool> learn(const std::string& route, std::string_view text, time_point now);
    void fail(const std::string& route, time_point now);

    // False while there is no answer to act on: none yet, or one past its TTL whose
    // renewal is under way and has not failed.
    bool is_usable(const std::string& route, time_point now) const;
    // Chooses by weight, not `excluded` if there is another.
    std::optional<entry_vm> pick(const std::string& route, const std::string& excluded,
                                 random_engine& random);
    const std::string& key_prefix(const std::string& route);
    // Addresses for look-ups of all answers held.
    std::vector<std::string> addresses() const;

    // Look-ups that failed, and answers past their TTL that were used for want of a
    // newer.
    std::uint64_t failed() const
    {
        return this->failed_count;
    }

private:
    struct cached
    {
        lookup_answer answer;
        std::optional<time_point> expires; // nothing: no answer yet
        time_point retry_at;               // after a failed look-up
        bool is_pending = false;
        bool has_failed = false; // the newest look-up failed
    };

    std::map<std::string, cached> routes;
    std::uint64_t failed_count = 0;
};

} // namespace pistachiospan::standin

#endif
