// The order of one connection's answers. HTTP/1.1 requires answers in the order of the
// requests (RFC 9112, 9.3.2), whatever order they are ready in.
//
// Example:
//
//     answer_queue answers([&](const response& due, const answer_framing& framing)
//                          { write(due, framing); });
//     answers.add(1, {});
//     answers.add(2, {});
//     answers.put(2, second, false); // waits
//     answers.put(1, first, false);  // sends both
//
// Uses no sockets and no clocks.

#ifndef PISTACHIOSPAN_HTTP1_INTERNAL_ANSWER_QUEUE_HPP
#define PISTACHIOSPAN_HTTP1_INTERNAL_ANSWER_QUEUE_HPP

#include "pistachiospan/http1/http1.hpp"

#include <deque>

namespace pistachiospan::http1::internal
{

// What the queue keeps of a request.
struct exchange_properties
{
    bool is_head_request = false;
    bool is_last = false;       // no request follows it on the connection
    std::size_t body_bytes = 0; // memory of its body until it is answered
};

struct answer_framing
{
    bool is_head_request = false;
    bool closes = false; // the connection closes after this answer
};

class answer_queue
{
public:
    // Sends an answer whose turn it is. Must not use the queue.
    using sink = std::function<void(const response&, const answer_framing&)>;

    explicit answer_queue(sink send);

    // Appends a request that is passed on. Call only while the queue does not close.
    void add(exchange_id exchange, const exchange_properties& properties);
    // Appends a request that is refused while it is read, and its answer. No request
    // follows it. Call only while the queue does not close.
    void add_refusal(const response& outgoing, bool is_head_request);
    // Takes the answer to a request, and sends what is due. With `close`, no request is
    // added any more, and the last answer closes the connection: earlier ones leave it
    // open for the requests that have been passed on. Unknown ids are ignored.
    void put(exchange_id exchange, const response& outgoing, bool close);
    // The requests that are in the queue are the last ones. Call only while it has some.
    void close_after_present();

    // True if no request may be added any more.
    bool closes() const
    {
        return this->is_closing;
    }
    // True if all answers have been sent.
    bool empty() const
    {
        return this->entries.empty();
    }
    // Requests without an answer.
    std::size_t unanswered() const
    {
        return this->unanswered_count;
    }
    std::vector<exchange_id> unanswered_ids() const;
    // Memory of the answers that wait for earlier ones.
    std::size_t waiting_bytes() const
    {
        return this->waiting_byte_count;
    }
    // Memory of the bodies of the requests without an answer.
    std::size_t body_bytes() const
    {
        return this->body_byte_count;
    }

private:
    struct entry
    {
        exchange_id exchange = 0;
        exchange_properties properties;
        std::optional<response> answer;
    };

    void append(entry added);
    void store(entry& answered, const response& outgoing);
    void send_first(const response& outgoing);
    void send_due();

    sink send;
    std::deque<entry> entries;
    std::size_t unanswered_count = 0;
    std::size_t waiting_byte_count = 0;
    std::size_t body_byte_count = 0;
    bool is_closing = false;
};

} // namespace pistachiospan::http1::internal

#endif
