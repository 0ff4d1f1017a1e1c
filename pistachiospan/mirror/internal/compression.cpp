#include "pistachiospan/mirror/internal/compression.hpp"

#include <zlib.h>

#include <array>
#include <memory>
#include <new>

namespace pistachiospan::mirror::internal
{

namespace
{

constexpr std::size_t chunk_size = std::size_t{32} << 10U; // bytes

// zlib takes its input as a pointer to non-const but does not write to it.
Bytef* input_of(std::string_view bytes)
{
    return const_cast<Bytef*>(reinterpret_cast<const Bytef*>(bytes.data()));
}

} // namespace

std::string compress(std::string_view bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string output(size, '\0');
    const int outcome = compress2(reinterpret_cast<Bytef*>(output.data()), &size,
                                  input_of(bytes), bytes.size(), Z_BEST_SPEED);
    // The output buffer is large enough, so the only possible failure is lack of memory.
    if (outcome != Z_OK)
        throw std::bad_alloc();
    output.resize(size);
    return output;
}

result<std::string> decompress(std::string_view bytes, std::size_t max_size)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK)
        throw std::bad_alloc();
    const std::unique_ptr<z_stream, int (*)(z_stream*)> stream_guard(&stream,
                                                                     &inflateEnd);
    stream.next_in = input_of(bytes);
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string output;
    std::array<char, chunk_size> chunk; // NOLINT: filled by inflate
    while (true)
    {
        stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
        stream.avail_out = static_cast<uInt>(chunk.size());
        const int outcome = inflate(&stream, Z_NO_FLUSH);
        if (outcome != Z_OK && outcome != Z_STREAM_END)
            return failure(errc::invalid_argument,
                           "page of a table is not valid zlib data; run one version on "
                           "all VMs");
        output.append(chunk.data(), chunk.size() - stream.avail_out);
        if (output.size() > max_size)
            return failure(errc::limit_exceeded,
                           "decompressed page exceeds the size limit");
        if (outcome == Z_STREAM_END)
            return output;
    }
}

} // namespace pistachiospan::mirror::internal
