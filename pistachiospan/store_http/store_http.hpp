// The platform's table, object store and VM list over HTTP (libevent's evhttp client).
//
// Example:
//
//     store::http_platform platform(base, {.address = "127.0.0.1:7000"});
//     store::table& rows = platform;
//     rows.get("catalogue/head", [](result<std::optional<store::row>> head) { ... });
//     event_base_dispatch(base);
//
// Requests, with JSON bodies unless stated:
//
//     POST /table/transact       {"writes": [{key, expected, value, remove}]}
//                                -> {"committed", "rows": [{key, value, rev}]}
//     GET  /table/row?key=K      -> {"row": row or null}
//     GET  /table/scan?prefix=P  -> {"rows": [row]}
//     PUT  /objects/<name>       body: the bytes
//     GET  /objects/<name>       -> the bytes
//     GET  /vms                  -> {"vms": [{id, address, caller_address, data_centre,
//                                             region, leaving}]}
//
// Errors:
//     unavailable      nothing was written: no connection, no free connection before
//                      the timeout, or the platform refused with `X-Not-Run: 1`; also
//                      any other failed read
//     unknown_outcome  a write whose request may have reached the platform
//     limit_exceeded   status 429 or 413, a response to a read over max_response_body, or
//     too
//                      many waiting calls
//     not_found        a read of an object that does not exist
//     invalid_argument the platform refused the request (any other status 4xx), or a
//                      value is not UTF-8

#ifndef PISTACHIOSPAN_STORE_HTTP_STORE_HTTP_HPP
#define PISTACHIOSPAN_STORE_HTTP_STORE_HTTP_HPP

#include "pistachiospan/store/store.hpp"

#include <memory>

struct event_base;

namespace pistachiospan::store
{

namespace internal
{
class http_client;
} // namespace internal

struct http_platform_options
{
    std::string address; // ip:port of the platform
    // Of one call, from the call to its complete response, including the wait for a free
    // connection.
    duration timeout = std::chrono::seconds(1);
    std::size_t connections = 4;   // at once, kept alive
    std::size_t max_waiting = 256; // calls waiting for a connection
    std::size_t max_response_body = std::size_t{16} * 1024 * 1024; // bytes
};

// Handlers are called from the loop of `base`, never within a call. The destructor drops
// pending calls without calling their handlers; it must not run in a handler.
class http_platform : public table, public object_store, public vm_list
{
public:
    // Throws std::invalid_argument if the address is not ip:port.
    http_platform(event_base* base, http_platform_options options);
    ~http_platform() override;
    http_platform(const http_platform&) = delete;
    http_platform& operator=(const http_platform&) = delete;

    void get(std::string key, handler<std::optional<row>> done) override;
    void scan(std::string prefix, handler<std::vector<row>> done) override;
    void transact(std::vector<conditional_write> writes,
                  handler<transaction_outcome> done) override;
    void put(std::string name, std::string bytes, handler<bool> done) override;
    void get(std::string name, handler<std::string> done) override;
    void list(handler<std::vector<vm_entry>> done) override;

private:
    std::unique_ptr<internal::http_client> client;
};

} // namespace pistachiospan::store

#endif
