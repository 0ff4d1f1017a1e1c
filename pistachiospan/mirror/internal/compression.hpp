// Compression of the pages that VMs send to each other, because their links may be slow.

#ifndef PISTACHIOSPAN_MIRROR_INTERNAL_COMPRESSION_HPP
#define PISTACHIOSPAN_MIRROR_INTERNAL_COMPRESSION_HPP

#include "pistachiospan/base/base.hpp"

#include <string>
#include <string_view>

namespace pistachiospan::mirror::internal
{

std::string compress(std::string_view bytes);

// Errors: invalid_argument for bytes that are not an output of compress(), limit_exceeded
// if the decompressed data would exceed `max_size` bytes.
result<std::string> decompress(std::string_view bytes, std::size_t max_size);

} // namespace pistachiospan::mirror::internal

#endif
