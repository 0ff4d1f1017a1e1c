#include "pistachiospan/mirror/internal/compression.hpp"

#include <zlib.h>

#include <array>
#include <memory>
#include <new>

namespace pistachiospan::mirror::internal
{

namespace
{

constexpr std::size_t piece_size = std::size_t{32} << 10U; // bytes

// zlib takes its input through a pointer that is not const and does not write to it.
Bytef* input_of(std::string_view bytes)
{
    return const_cast<Bytef*>(reinterpret_cast<const Bytef*>(bytes.data()));
}

} // namespace

std::string compress(std::string_view bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string made(size, '\0');
    const int outcome = compress2(reinterpret_cast<Bytef*>(made.data()), &size,
                                  input_of(bytes), bytes.size(), Z_BEST_SPEED);
    // The buffer is large enough for any input, so only memory can be short.
    if (outcome != Z_OK)
        throw std::bad_alloc();
    made.resize(size);
    return made;
}

result<std::string> decompress(std::string_view bytes, std::size_t most)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK)
        throw std::bad_alloc();
    const std::unique_ptr<z_stream, int (*)(z_stream*)> closer(&stream, &inflateEnd);
    stream.next_in = input_of(bytes);
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string made;
    std::array<char, piece_size> piece; // NOLINT: filled by inflate
    while (true)
    {
        stream.next_out = reinterpret_cast<Bytef*>(piece.data());
        stream.avail_out = static_cast<uInt>(piece.size());
        const int outcome = inflate(&stream, Z_NO_FLUSH);
        if (outcome != Z_OK && outcome != Z_STREAM_END)
            return failure(errc::invalid_argument,
                           "bytes are not compressed as expected; run one version on "
                           "all VMs");
        made.append(piece.data(), piece.size() - stream.avail_out);
        if (made.size() > most)
            return failure(errc::limit_exceeded, "bytes grow beyond the limit");
        if (outcome == Z_STREAM_END)
            return made;
    }
}

} // namespace pistachiospan::mirror::internal
