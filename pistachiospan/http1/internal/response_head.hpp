// Writes the heads of a server's responses.

#ifndef PISTACHIOSPAN_HTTP1_INTERNAL_RESPONSE_HEAD_HPP
#define PISTACHIOSPAN_HTTP1_INTERNAL_RESPONSE_HEAD_HPP

#include "pistachiospan/http1/http1.hpp"

namespace pistachiospan::http1::internal
{

// True if the response to such a request has no body, whatever its headers say.
bool has_no_body(int status, bool is_head_request);

std::string serialize_head(const response& outgoing, bool close, duration idle_timeout);

} // namespace pistachiospan::http1::internal

#endif
