#include "pistachiospan/store_http/store_http.hpp"

#include "pistachiospan/store_http/internal/http_client.hpp"
#include "pistachiospan/store_http/internal/protocol.hpp"

#include <cstdlib>

namespace pistachiospan::store
{

namespace
{

std::string percent_encode(const std::string& text)
{
    char* const encoded = evhttp_uriencode(
        text.data(), static_cast<ev_ssize_t>(text.size()), /*space_to_plus=*/0);
    if (encoded == nullptr)
        throw std::bad_alloc();
    std::string text_copy(encoded);
    std::free(encoded);
    return text_copy;
}

// Decodes the body of a response; `parse_error` is the error code for a malformed one.
template <class Response>
result<Response> decode_response(result<std::string> body, errc parse_error)
{
    if (!body)
        return body.error();
    try
    {
        return nlohmann::json::parse(body.value()).get<Response>();
    }
    catch (const nlohmann::json::exception& problem)
    {
        return failure(parse_error,
                       std::string("malformed response from the platform: ") +
                           problem.what() + "; check its address and release");
    }
}

// Returns a handler that decodes the response to a read and passes one member of it to
// `done`.
template <class Response, class T>
internal::http_handler pass_member(T Response::*member, handler<T> done)
{
    return [member, done = std::move(done)](result<std::string> body)
    {
        result<Response> decoded =
            decode_response<Response>(std::move(body), errc::unavailable);
        if (decoded)
            done(std::move(decoded.value().*member));
        else
            done(decoded.error());
    };
}

} // namespace

http_platform::http_platform(event_base* base, http_platform_options options)
    : client(std::make_unique<internal::http_client>(base, std::move(options)))
{
}

http_platform::~http_platform() = default;

void http_platform::get(std::string key, handler<std::optional<row>> done)
{
    this->client->call({.target = "/table/row?key=" + percent_encode(key)},
                       pass_member(&internal::row_response::found, std::move(done)));
}

void http_platform::scan(std::string prefix, handler<std::vector<row>> done)
{
    this->client->call({.target = "/table/scan?prefix=" + percent_encode(prefix)},
                       pass_member(&internal::rows_response::rows, std::move(done)));
}

void http_platform::transact(std::vector<conditional_write> writes,
                             handler<transaction_outcome> done)
{
    auto finish = [done = std::move(done)](result<std::string> body)
    {
        done(
            decode_response<transaction_outcome>(std::move(body), errc::unknown_outcome));
    };
    try
    {
        const nlohmann::json body = internal::transact_request{std::move(writes)};
        internal::http_request request{.method = EVHTTP_REQ_POST,
                                       .target = "/table/transact",
                                       .body = body.dump(),
                                       .write = true};
        this->client->call(std::move(request), std::move(finish));
    }
    catch (const nlohmann::json::exception& problem)
    {
        this->client->refuse({make_error_code(errc::invalid_argument),
                              std::string("rows must be UTF-8: ") + problem.what() +
                                  "; encode the value as text"},
                             std::move(finish));
    }
}

void http_platform::put(std::string name, std::string bytes, handler<bool> done)
{
    auto finish = [done = std::move(done)](result<std::string> body)
    {
        if (body)
            done(true);
        else
            done(body.error());
    };
    this->client->call({.method = EVHTTP_REQ_PUT,
                        .target = "/objects/" + percent_encode(name),
                        .body = std::move(bytes),
                        .write = true},
                       std::move(finish));
}

void http_platform::get(std::string name, handler<std::string> done)
{
    this->client->call({.target = "/objects/" + percent_encode(name)}, std::move(done));
}

void http_platform::list(handler<std::vector<vm_entry>> done)
{
    this->client->call({.target = "/vms"},
                       pass_member(&internal::vms_response::vms, std::move(done)));
}

} // namespace pistachiospan::store
