#include "pistachiospan/http1/internal/answer_queue.hpp"

#include <algorithm>

namespace pistachiospan::http1::internal
{

namespace
{

// Memory of a waiting answer, with its entry in the queue, so that many empty answers
// count, too.
std::size_t memory_of(const response& waiting)
{
    constexpr std::size_t entry_size = 128;
    std::size_t bytes = entry_size + waiting.body.size();
    for (const header& each : waiting.headers)
        bytes += sizeof(header) + each.name.size() + each.value.size();
    return bytes;
}

} // namespace

answer_queue::answer_queue(sink send) : send(std::move(send)) {}

void answer_queue::append(entry added)
{
    this->is_closing = this->is_closing || added.properties.is_last;
    this->body_byte_count += added.properties.body_bytes;
    ++this->unanswered_count;
    this->entries.push_back(std::move(added));
}

void answer_queue::add(exchange_id exchange, const exchange_properties& properties)
{
    this->append({.exchange = exchange, .properties = properties});
}

void answer_queue::add_refusal(const response& outgoing, bool is_head_request)
{
    this->append({.properties = {.is_head_request = is_head_request, .is_last = true}});
    this->store(this->entries.back(), outgoing);
    this->send_due();
}

void answer_queue::put(exchange_id exchange, const response& outgoing, bool close)
{
    const auto found = std::ranges::find(this->entries, exchange, &entry::exchange);
    if (found == this->entries.end() || found->answer)
        return;
    this->is_closing = this->is_closing || close;
    if (found != this->entries.begin())
    {
        this->store(*found, outgoing);
        return;
    }
    // Most answers are due at once and need no copy.
    --this->unanswered_count;
    this->body_byte_count -= found->properties.body_bytes;
    this->send_first(outgoing);
    this->send_due();
}

void answer_queue::close_after_present()
{
    this->is_closing = true;
}

void answer_queue::store(entry& answered, const response& outgoing)
{
    --this->unanswered_count;
    this->body_byte_count -= answered.properties.body_bytes;
    this->waiting_byte_count += memory_of(outgoing);
    answered.answer = outgoing;
}

void answer_queue::send_first(const response& outgoing)
{
    const bool is_last = this->entries.size() == 1;
    this->send(outgoing,
               {.is_head_request = this->entries.front().properties.is_head_request,
                .closes = this->is_closing && is_last});
    this->entries.pop_front();
}

void answer_queue::send_due()
{
    while (!this->entries.empty() && this->entries.front().answer)
    {
        const response due = std::move(*this->entries.front().answer);
        this->waiting_byte_count -= memory_of(due);
        this->send_first(due);
    }
}

std::vector<exchange_id> answer_queue::unanswered_ids() const
{
    std::vector<exchange_id> all;
    for (const entry& each : this->entries)
        if (!each.answer)
            all.push_back(each.exchange);
    return all;
}

} // namespace pistachiospan::http1::internal
