#include "pistachiospan/base/base.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <stdexcept>
#include <vector>

namespace pistachiospan
{

namespace
{

class pistachiospan_category final : public std::error_category
{
public:
    const char* name() const noexcept override
    {
        return "pistachiospan";
    }

    std::string message(int value) const override
    {
        switch (static_cast<errc>(value))
        {
        case errc::ok:
            return "ok";
        case errc::invalid_argument:
            return "invalid argument";
        case errc::not_found:
            return "not found";
        case errc::conflict:
            return "conflicting write";
        case errc::unavailable:
            return "service unavailable";
        case errc::unknown_outcome:
            return "outcome unknown";
        case errc::timeout:
            return "deadline passed";
        case errc::permission_denied:
            return "permission denied";
        case errc::limit_exceeded:
            return "limit exceeded";
        case errc::stale:
            return "stale view";
        case errc::internal_error:
            return "internal error";
        }
        return "unknown error";
    }
};

std::string to_hex(std::span<const unsigned char> bytes)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes)
    {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 15U]);
    }
    return text;
}

} // namespace

void to_json(nlohmann::json& out, const vm_id& id)
{
    out = id.value;
}

void from_json(const nlohmann::json& in, vm_id& id)
{
    id.value = in.get<std::string>();
}

const std::error_category& error_category() noexcept
{
    static const pistachiospan_category instance;
    return instance;
}

std::error_code make_error_code(errc code) noexcept
{
    return {static_cast<int>(code), error_category()};
}

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string hmac_hex(std::string_view key, std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    const auto* data = reinterpret_cast<const unsigned char*>(bytes.data());
    if (HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), data, bytes.size(),
             digest.data(), &size) == nullptr)
        throw std::runtime_error("HMAC-SHA-256 failed; check the OpenSSL installation");
    return to_hex({digest.data(), size});
}

bool equal_constant_time(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_hex(std::size_t count)
{
    std::vector<unsigned char> bytes(count);
    if (RAND_bytes(bytes.data(), static_cast<int>(count)) != 1)
        throw std::runtime_error("RAND_bytes failed; check the system's random device");
    return to_hex(bytes);
}

} // namespace pistachiospan
