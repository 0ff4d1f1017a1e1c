// Compression of pages on their way between VMs, whose links may be slow.

#ifndef PISTACHIOSPAN_MIRROR_INTERNAL_COMPRESSION_HPP
#define PISTACHIOSPAN_MIRROR_INTERNAL_COMPRESSION_HPP

#include "pistachiospan/base/base.hpp"

#include <string>
#include <string_view>

namespace pistachiospan::mirror::internal
{

std::string compress(std::string_view bytes);

// Errors: invalid_argument for bytes that compress() did not make, limit_exceeded if they
// grow to more than `most` bytes.
result<std::string> decompress(std::string_view bytes, std::size_t most);

} // namespace pistachiospan::mirror::internal

#endif
