#include "pistachiospan/store_http/internal/protocol.hpp"

namespace pistachiospan::store
{

void to_json(nlohmann::json& out, const row& value)
{
    out = {{"key", value.key}, {"value", value.value}, {"rev", value.rev}};
}

void from_json(const nlohmann::json& in, row& value)
{
    in.at("key").get_to(value.key);
    in.at("value").get_to(value.value);
    in.at("rev").get_to(value.rev);
}

void to_json(nlohmann::json& out, const conditional_write& value)
{
    out = {{"key", value.key},
           {"expected", value.expected},
           {"value", value.value},
           {"remove", value.remove}};
}

void from_json(const nlohmann::json& in, conditional_write& value)
{
    in.at("key").get_to(value.key);
    in.at("expected").get_to(value.expected);
    value.value = in.value("value", std::string());
    value.remove = in.value("remove", false);
}

void to_json(nlohmann::json& out, const transaction_outcome& value)
{
    out = {{"committed", value.committed}, {"rows", value.rows}};
}

void from_json(const nlohmann::json& in, transaction_outcome& value)
{
    in.at("committed").get_to(value.committed);
    in.at("rows").get_to(value.rows);
}

void to_json(nlohmann::json& out, const vm_entry& value)
{
    out = {{"id", value.id},
           {"address", value.address},
           {"caller_address", value.caller_address},
           {"data_centre", value.data_centre},
           {"region", value.region},
           {"leaving", value.leaving}};
}

void from_json(const nlohmann::json& in, vm_entry& value)
{
    in.at("id").get_to(value.id);
    in.at("address").get_to(value.address);
    in.at("caller_address").get_to(value.caller_address);
    in.at("data_centre").get_to(value.data_centre);
    in.at("region").get_to(value.region);
    value.leaving = in.value("leaving", false);
}

namespace internal
{

void to_json(nlohmann::json& out, const transact_request& value)
{
    out = {{"writes", value.writes}};
}

void from_json(const nlohmann::json& in, transact_request& value)
{
    in.at("writes").get_to(value.writes);
}

void to_json(nlohmann::json& out, const row_response& value)
{
    out["row"] = nullptr;
    if (value.found)
        out["row"] = *value.found;
}

void from_json(const nlohmann::json& in, row_response& value)
{
    const nlohmann::json& found = in.at("row");
    value.found.reset();
    if (!found.is_null())
        value.found = found.get<row>();
}

void to_json(nlohmann::json& out, const rows_response& value)
{
    out = {{"rows", value.rows}};
}

void from_json(const nlohmann::json& in, rows_response& value)
{
    in.at("rows").get_to(value.rows);
}

void to_json(nlohmann::json& out, const vms_response& value)
{
    out = {{"vms", value.vms}};
}

void from_json(const nlohmann::json& in, vms_response& value)
{
    in.at("vms").get_to(value.vms);
}

} // namespace internal

} // namespace pistachiospan::store
