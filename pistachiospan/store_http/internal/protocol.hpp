// JSON encoding of the store's types, shared by the client and the platform stand-in.

#ifndef PISTACHIOSPAN_STORE_HTTP_INTERNAL_PROTOCOL_HPP
#define PISTACHIOSPAN_STORE_HTTP_INTERNAL_PROTOCOL_HPP

#include "pistachiospan/store/store.hpp"

namespace pistachiospan::store
{

void to_json(nlohmann::json& out, const row& value);
void from_json(const nlohmann::json& in, row& value);
void to_json(nlohmann::json& out, const conditional_write& value);
void from_json(const nlohmann::json& in, conditional_write& value);
void to_json(nlohmann::json& out, const transaction_outcome& value);
void from_json(const nlohmann::json& in, transaction_outcome& value);
void to_json(nlohmann::json& out, const vm_entry& value);
void from_json(const nlohmann::json& in, vm_entry& value);

namespace internal
{

// Header of a refusal that guarantees that nothing was written or run.
inline constexpr const char* not_run_header = "X-Not-Run";

struct transact_request
{
    std::vector<conditional_write> writes;
};

struct row_response
{
    std::optional<row> found;
};

struct rows_response
{
    std::vector<row> rows;
};

struct vms_response
{
    std::vector<vm_entry> vms;
};

void to_json(nlohmann::json& out, const transact_request& value);
void from_json(const nlohmann::json& in, transact_request& value);
void to_json(nlohmann::json& out, const row_response& value);
void from_json(const nlohmann::json& in, row_response& value);
void to_json(nlohmann::json& out, const rows_response& value);
void from_json(const nlohmann::json& in, rows_response& value);
void to_json(nlohmann::json& out, const vms_response& value);
void from_json(const nlohmann::json& in, vms_response& value);

} // namespace internal

} // namespace pistachiospan::store

#endif
