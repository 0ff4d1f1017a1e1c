#include "standin/common/answer.hpp"

#include <event2/buffer.h>

#include <vector>

namespace pistachiospan::standin
{

namespace
{

constexpr std::size_t filler_block_size = std::size_t{64} * 1024;
constexpr std::size_t letters = 26;

const std::string& filler_block(char letter)
{
    static const std::vector<std::string> blocks = []
    {
        std::vector<std::string> made;
        made.reserve(letters);
        for (std::size_t at = 0; at < letters; ++at)
            made.emplace_back(filler_block_size, static_cast<char>('a' + at));
        return made;
    }();
    return blocks.at(static_cast<std::size_t>(letter - 'a'));
}

} // namespace

char filler_letter(std::string_view request_id)
{
    return static_cast<char>('a' + hash_bytes(request_id) % letters);
}

void add_filler(evbuffer* output, char letter, std::uint64_t count)
{
    const std::string& block = filler_block(letter);
    while (count > 0)
    {
        const std::size_t part = std::min<std::uint64_t>(count, block.size());
        evbuffer_add_reference(output, block.data(), part, nullptr, nullptr);
        count -= part;
    }
}

} // namespace pistachiospan::standin
