#include "pistachiospan/quarantine/quarantine.hpp"

#include <openssl/evp.h>

#include <array>
#include <cstdio>
#include <cstring>
#include <memory>
#include <stdexcept>

namespace pistachiospan::quarantine
{

namespace
{

struct digest_deleter
{
    void operator()(EVP_MD_CTX* owned) const
    {
        EVP_MD_CTX_free(owned);
    }
};

void check(int succeeded)
{
    if (succeeded != 1)
        throw std::runtime_error("SHA-256 failed; check the installation of OpenSSL");
}

} // namespace

fingerprint fingerprint_of(std::initializer_list<std::string_view> parts)
{
    const std::unique_ptr<EVP_MD_CTX, digest_deleter> digest(EVP_MD_CTX_new());
    check(EVP_DigestInit_ex(digest.get(), EVP_sha256(), nullptr));
    for (const std::string_view part : parts)
    {
        // With its size before it, no part can take bytes of the next one.
        const std::uint64_t size = part.size();
        check(EVP_DigestUpdate(digest.get(), &size, sizeof(size)));
        check(EVP_DigestUpdate(digest.get(), part.data(), part.size()));
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    check(EVP_DigestFinal_ex(digest.get(), bytes.data(), nullptr));
    fingerprint made;
    std::memcpy(&made.high, bytes.data(), sizeof(made.high));
    std::memcpy(&made.low, bytes.data() + sizeof(made.high), sizeof(made.low));
    return made;
}

std::string to_text(const fingerprint& request)
{
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(request.high),
                  static_cast<unsigned long long>(request.low));
    return text.data();
}

} // namespace pistachiospan::quarantine
