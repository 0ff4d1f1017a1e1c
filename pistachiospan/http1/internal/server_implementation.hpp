// The server's implementation. server.cpp has its listener and the life of its
// connections, server_requests.cpp the way from their bytes to requests and answers.

#ifndef PISTACHIOSPAN_HTTP1_INTERNAL_SERVER_IMPLEMENTATION_HPP
#define PISTACHIOSPAN_HTTP1_INTERNAL_SERVER_IMPLEMENTATION_HPP

#include "pistachiospan/event_loop/event_loop.hpp"
#include "pistachiospan/http1/http1.hpp"
#include "pistachiospan/http1/internal/answer_queue.hpp"
#include "pistachiospan/http1/internal/arrival_times.hpp"
#include "pistachiospan/http1/internal/parser.hpp"
#include "pistachiospan/http1/internal/socket.hpp"

#include <event2/listener.h>

#include <list>
#include <unordered_map>

namespace pistachiospan::http1
{

class server::implementation
{
public:
    implementation(event_base* base, const std::string& address, server_hooks hooks);

    void set_limits(const server_limits& new_limits);
    void respond(exchange_id exchange, const response& outgoing, bool close);
    void begin_drain();
    void stop_accepting();
    void close_idle();

    std::size_t connections() const
    {
        return this->open_connections.size();
    }
    std::size_t pending() const
    {
        return this->exchanges.size();
    }
    pipelining_counts pipelining() const
    {
        return this->counts;
    }

private:
    using connection_id = std::uint64_t;

    struct connection
    {
        connection(implementation& owner, connection_id id, bufferevent* socket)
            : owner(owner), id(id), socket(socket),
              parser(internal::message_kind::request),
              answers([this](const response& due, const internal::answer_framing& framing)
                      { this->owner.write(*this, due, framing); }),
              timer(owner.base, [this] { this->owner.on_timeout(*this); })
        {
        }

        bool is_reading() const
        {
            return this->parser.state() == internal::parse_state::headers ||
                   this->parser.state() == internal::parse_state::body;
        }

        // Bytes of answers that the caller has not got yet.
        std::size_t waiting_bytes() const
        {
            return this->answers.waiting_bytes() +
                   evbuffer_get_length(bufferevent_get_output(this->socket.get()));
        }

        // True if no byte waits to be read (in the buffer or in the kernel) or written.
        bool has_no_pending_bytes() const;

        implementation& owner;
        connection_id id;
        internal::bufferevent_ptr socket;
        internal::parser parser;
        internal::arrival_times arrivals;
        internal::answer_queue answers;
        event_loop::one_shot_timer timer;
        // Bytes of the requests' bodies, included in the total.
        std::size_t buffered_bytes = 0;
        time_point received_at; // the request that is being read
        bool parsing = false;
        bool overlap_decided = false; // for the request that is being read
        bool held = false; // the request that is being read waits for earlier answers
        bool pause_reported = false;
        bool continue_sent = false; // 100 (Continue) was sent
        bool closing = false;       // the last response is being written
        bool idle = false;          // is in idle_list
        std::list<connection*>::iterator idle_position;
        time_point idle_since;
    };

    static void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int,
                          void* self);
    static void on_read(bufferevent*, void* user);
    static void on_write(bufferevent*, void* user);
    static void on_event(bufferevent*, short what, void* user);

    void accept(evutil_socket_t socket);
    void parse_input(connection& conn);
    void parse_all(connection& conn);
    bool parse_chunk(connection& conn);
    bool may_read(connection& conn);
    bool may_proceed(connection& conn);
    bool may_overlap(connection& conn);
    void finish_wait(connection& conn);
    void continue_body(connection& conn);
    void close_after_present(connection& conn);
    void discard_input(connection& conn);
    void dispatch_request(connection& conn);
    void refuse(connection& conn, int status);
    void write(connection& conn, const response& outgoing,
               const internal::answer_framing& framing);
    void on_timeout(connection& conn);
    void on_output_drained(connection& conn);
    void wait_for_request(connection& conn);
    void remove_from_idle_list(connection& conn);
    void make_room_for_connection();
    void update_buffered(connection& conn);
    void close(connection& conn);

    event_base* base;
    server_hooks hooks;
    server_limits limits;
    struct listener_deleter
    {
        void operator()(evconnlistener* owned) const
        {
            evconnlistener_free(owned);
        }
    };
    std::list<connection*> idle_list; // longest idle first
    event_loop::one_shot_timer accept_retry_timer;
    std::unique_ptr<evconnlistener, listener_deleter> listener;
    std::unordered_map<connection_id, std::unique_ptr<connection>> open_connections;
    std::unordered_map<exchange_id, connection_id> exchanges;
    std::uint64_t last_id = 0;
    std::size_t total_buffered_bytes = 0;
    pipelining_counts counts;
    bool draining = false;
};

} // namespace pistachiospan::http1

#endif
