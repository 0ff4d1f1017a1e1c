// Encoding of heartbeats.

#include "pistachiospan/member/member.hpp"

namespace pistachiospan::member
{

namespace
{

using std::chrono::milliseconds;

std::uint64_t milliseconds_up(duration span)
{
    return static_cast<std::uint64_t>(std::chrono::ceil<milliseconds>(span).count());
}

enum flag : unsigned
{
    flag_reply = 1,
    flag_draining = 2,
    flag_by_index = 4,
};

// Order of the fields of an encoded heartbeat. Trailing optional fields that are null are
// left out.
enum field : std::size_t
{
    field_flags,
    field_token,
    field_echo,
    field_echo_age,
    field_held,
    field_active_lag,
    field_digest,
    field_confirmed_lag,
    field_confirmed_age,
    field_next_refresh,
    field_roster,
    field_vms,
    field_data_centres,
    field_exceptions,
    field_load,
    field_introductions,
    field_count
};

constexpr std::size_t fixed_fields = field_roster + 1;

nlohmann::json encode_bytes(const std::vector<std::uint8_t>& bytes)
{
    return bytes.empty() ? nlohmann::json() : nlohmann::json::binary(bytes);
}

std::vector<std::uint8_t> decode_bytes(const nlohmann::json& in, std::size_t at)
{
    if (at >= in.size() || in[at].is_null())
        return {};
    return in[at].get_binary();
}

} // namespace

std::uint32_t short_digest(std::string_view digest) noexcept
{
    return static_cast<std::uint32_t>(hash_bytes(digest));
}

void to_json(nlohmann::json& out, const introduction& value)
{
    out =
        nlohmann::json::array({value.id, value.address, value.data_centre, value.region});
}

void from_json(const nlohmann::json& in, introduction& value)
{
    value.id = in.at(0).get<vm_id>();
    value.address = in.at(1).get<std::string>();
    value.data_centre = in.at(2).get<std::string>();
    value.region = in.at(3).get<std::string>();
}

void to_json(nlohmann::json& out, const heartbeat& message)
{
    const catalogue_state& state = message.catalogue;
    const unsigned flags = (message.is_reply ? flag_reply : 0U) |
                           (message.draining ? flag_draining : 0U) |
                           (message.by_index ? flag_by_index : 0U);
    const auto held = static_cast<std::int64_t>(state.held_version);
    out = nlohmann::json::array(
        {flags, message.token, message.echo,
         std::chrono::floor<milliseconds>(message.echo_age).count(), state.held_version,
         held - static_cast<std::int64_t>(state.active_version), state.digest,
         state.confirmed_version == 0
             ? nlohmann::json()
             : nlohmann::json(held - static_cast<std::int64_t>(state.confirmed_version)),
         milliseconds_up(state.confirmation_age), milliseconds_up(message.next_refresh),
         message.roster, encode_bytes(message.vms), encode_bytes(message.data_centres),
         encode_bytes(message.exceptions), message.load,
         message.introductions.empty() ? nlohmann::json()
                                       : nlohmann::json(message.introductions)});
    while (out.size() > fixed_fields && out.back().is_null())
        out.erase(out.size() - 1);
}

void from_json(const nlohmann::json& in, heartbeat& message)
{
    const auto flags = in.at(field_flags).get<unsigned>();
    message.is_reply = (flags & flag_reply) != 0;
    message.draining = (flags & flag_draining) != 0;
    message.by_index = (flags & flag_by_index) != 0;
    message.token = in.at(field_token).get<std::uint32_t>();
    message.echo = in.at(field_echo).get<std::uint32_t>();
    message.echo_age = milliseconds(in.at(field_echo_age).get<std::uint32_t>());
    catalogue_state& state = message.catalogue;
    state.held_version = in.at(field_held).get<catalogue_version>();
    state.active_version =
        state.held_version - in.at(field_active_lag).get<catalogue_version>();
    state.digest = in.at(field_digest).get<std::uint32_t>();
    const nlohmann::json& lag = in.at(field_confirmed_lag);
    state.confirmed_version = lag.is_null()
                                  ? 0
                                  : static_cast<catalogue_version>(
                                        static_cast<std::int64_t>(state.held_version) -
                                        lag.get<std::int64_t>());
    state.confirmation_age =
        milliseconds(in.at(field_confirmed_age).get<std::uint32_t>());
    message.next_refresh = milliseconds(in.at(field_next_refresh).get<std::uint32_t>());
    message.roster = in.at(field_roster).get<std::uint32_t>();
    message.vms = decode_bytes(in, field_vms);
    message.data_centres = decode_bytes(in, field_data_centres);
    message.exceptions = decode_bytes(in, field_exceptions);
    message.load = field_load < in.size() ? in[field_load] : nlohmann::json();
    message.introductions.clear();
    if (field_introductions < in.size())
        in[field_introductions].get_to(message.introductions);
}

} // namespace pistachiospan::member
