#include "pistachiospan/catalogue/catalogue.hpp"

#include "pistachiospan/ini/ini.hpp"

#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>
#include <optional>
#include <stdexcept>

namespace pistachiospan::catalogue
{

namespace
{

constexpr std::string_view unreserved =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";

// Whether the percent-encoded character at `at` is malformed or one that upstreams may
// decode before they match the path.
bool is_ambiguous_escape(std::string_view path, std::size_t at)
{
    unsigned int value = 0;
    const std::string_view digits = path.substr(at + 1, 2);
    const auto [rest, problem] =
        std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    if (digits.size() != 2 || problem != std::errc() ||
        rest != digits.data() + digits.size())
        return true;
    const char decoded = static_cast<char>(value);
    return value < 32 || value == 127 || decoded == '/' || decoded == '\\' ||
           decoded == '%' || unreserved.find(decoded) != std::string_view::npos;
}

bool is_plain_segment(std::string_view segment)
{
    return !segment.empty() && segment != "." && segment != "..";
}

bool is_plain_path(std::string_view path)
{
    if (!path.starts_with('/'))
        return false;
    std::size_t begin = 1;
    for (std::size_t at = 1; at < path.size(); ++at)
    {
        const char c = path[at];
        if (static_cast<unsigned char>(c) < 33 || c == 127 || c == '\\' || c == '#')
            return false;
        if (c == '%' && is_ambiguous_escape(path, at))
            return false;
        if (c != '/')
            continue;
        if (!is_plain_segment(path.substr(begin, at - begin)))
            return false;
        begin = at + 1;
    }
    const std::string_view last = path.substr(begin);
    return last.empty() || is_plain_segment(last);
}

bool has_prefix(std::string_view path, std::string_view prefix)
{
    if (prefix == "/")
        return true;
    return path.starts_with(prefix) &&
           (path.size() == prefix.size() || path[prefix.size()] == '/');
}

// Whether the account has this key hash. Compares with all hashes, so that the time does
// not depend on which one matches.
bool holds(const client_account& account, std::string_view hash)
{
    bool found = false;
    for (const std::string& each : account.key_hashes)
        found |= equal_constant_time(each, hash);
    return found;
}

const client_account*
search_accounts(const std::map<std::string, client_account>& accounts,
                std::string_view hash)
{
    const client_account* found = nullptr;
    for (const auto& [name, account] : accounts)
        if (holds(account, hash))
            found = &account;
    return found;
}

std::string to_hex(std::span<const unsigned char> bytes)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(2 * bytes.size());
    for (const unsigned char byte : bytes)
    {
        hex.push_back(digits[byte >> 4U]);
        hex.push_back(digits[byte & 15U]);
    }
    return hex;
}

// Computes HMAC-SHA-256 and reuses the context between calls. Setting up a context for
// each key costs six times as much as the hash itself, and nearly all hashes of a process
// use the same salt.
class keyed_mac
{
public:
    keyed_mac()
    {
        std::string name = "SHA256";
        const std::array<OSSL_PARAM, 2> parameters{
            OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, name.data(), 0),
            OSSL_PARAM_construct_end()};
        require(this->context != nullptr &&
                EVP_MAC_CTX_set_params(this->context.get(), parameters.data()) == 1);
    }

    std::string hash(std::string_view salt, std::string_view key)
    {
        this->set_salt(salt);
        std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
        std::size_t size = 0;
        require(EVP_MAC_update(this->context.get(), to_bytes(key), key.size()) == 1 &&
                EVP_MAC_final(this->context.get(), bytes.data(), &size, bytes.size()) ==
                    1);
        return to_hex(std::span(bytes).first(size));
    }

private:
    void set_salt(std::string_view salt)
    {
        if (this->keyed && salt == this->salt)
            return require(EVP_MAC_init(this->context.get(), nullptr, 0, nullptr) == 1);
        this->keyed = false;
        require(EVP_MAC_init(this->context.get(), to_bytes(salt), salt.size(), nullptr) ==
                1);
        this->salt = salt;
        this->keyed = true;
    }

    static const unsigned char* to_bytes(std::string_view text)
    {
        // OpenSSL takes a null pointer to mean "keep the previous key", so an empty text
        // needs a valid address.
        return reinterpret_cast<const unsigned char*>(text.empty() ? "" : text.data());
    }

    static void require(bool succeeded)
    {
        if (!succeeded)
            throw std::runtime_error(
                "HMAC-SHA-256 failed; check the OpenSSL installation");
    }

    struct deleter
    {
        void operator()(EVP_MAC* mac) const
        {
            EVP_MAC_free(mac);
        }
        void operator()(EVP_MAC_CTX* context) const
        {
            EVP_MAC_CTX_free(context);
        }
    };

    std::unique_ptr<EVP_MAC, deleter> mac{EVP_MAC_fetch(nullptr, "HMAC", nullptr)};
    std::unique_ptr<EVP_MAC_CTX, deleter> context{EVP_MAC_CTX_new(this->mac.get())};
    std::string salt;
    bool keyed = false;
};

// Returns the `server` line of this address with the drain mark set or removed, or
// nullopt for any other line.
std::optional<std::string> mark_line(std::string_view line, std::string_view address,
                                     bool drain)
{
    const std::size_t separator = line.find_first_of("=:");
    if (separator == std::string_view::npos ||
        ini::split_words(line.substr(0, separator)) != std::vector<std::string>{"server"})
        return std::nullopt;
    const std::vector<std::string> words = ini::split_words(line.substr(separator + 1));
    if (words.size() < 3 || words[0] != address)
        return std::nullopt;
    std::string marked = "server = " + words[0] + " @ " + words[2];
    if (drain)
        marked += " drain";
    const std::size_t comment = line.find(';');
    if (comment != std::string_view::npos)
        marked += " " + std::string(line.substr(comment));
    return marked;
}

} // namespace

const route* catalogue::find_route(std::string_view path) const
{
    path = path.substr(0, path.find('?'));
    if (!is_plain_path(path))
        return nullptr;
    if (this->index.route_by_prefix.empty())
    {
        const route* best = nullptr;
        for (const auto& [name, each] : this->routes)
            if (has_prefix(path, each.path_prefix) &&
                (best == nullptr || each.path_prefix.size() > best->path_prefix.size()))
                best = &each;
        return best;
    }
    // No prefix is longer than longest_prefix, so the cost does not grow with the path.
    for (std::size_t end = std::min(path.size(), this->index.longest_prefix); end > 0;
         --end)
    {
        if (end < path.size() && path[end] != '/')
            continue;
        const auto found = this->index.route_by_prefix.find(path.substr(0, end));
        if (found != this->index.route_by_prefix.end())
            return &this->routes.at(found->second);
    }
    const auto root = this->index.route_by_prefix.find("/");
    return root == this->index.route_by_prefix.end() ? nullptr
                                                     : &this->routes.at(root->second);
}

const client_account* catalogue::find_account(std::string_view key) const
{
    if (key.empty() || key.size() > max_key_size)
        return nullptr;
    return this->find_account_by_hash(hash_key(this->key_salt, key));
}

const client_account* catalogue::find_account_by_hash(std::string_view hash) const
{
    if (this->index.account_by_hash.empty())
        return search_accounts(this->accounts, hash);
    // The position in the table depends on the keyed hash only, which a caller can
    // neither choose nor learn without the salt.
    const auto found = this->index.account_by_hash.find(std::string(hash));
    if (found == this->index.account_by_hash.end())
        return nullptr;
    const auto account = this->accounts.find(found->second);
    if (account == this->accounts.end() || !holds(account->second, hash))
        return nullptr;
    return &account->second;
}

void catalogue::build_index()
{
    this->index.route_by_prefix.clear();
    this->index.account_by_hash.clear();
    this->index.longest_prefix = 0;
    for (const auto& [name, each] : this->routes)
    {
        this->index.route_by_prefix.emplace(each.path_prefix, name);
        this->index.longest_prefix =
            std::max(this->index.longest_prefix, each.path_prefix.size());
    }
    for (const auto& [name, account] : this->accounts)
        for (const std::string& hash : account.key_hashes)
            this->index.account_by_hash.emplace(hash, name);
}

std::string hash_key(std::string_view salt, std::string_view key)
{
    static thread_local keyed_mac mac;
    return mac.hash(salt, key);
}

std::string digest(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned int size = 0;
    if (EVP_Digest(text.data(), text.size(), bytes.data(), &size, EVP_sha256(),
                   nullptr) != 1)
        throw std::runtime_error("SHA-256 failed; check the OpenSSL installation");
    return to_hex(std::span(bytes).first(size));
}

result<std::string> set_drain_mark(std::string_view text, std::string_view address,
                                   bool drain)
{
    std::string new_text;
    bool found = false;
    for (std::size_t begin = 0; begin < text.size();)
    {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        const std::string_view line = text.substr(begin, end - begin);
        const auto marked = mark_line(line, address, drain);
        found = found || marked.has_value();
        new_text += marked.value_or(std::string(line));
        if (end < text.size())
            new_text += '\n';
        begin = end + 1;
    }
    if (!found)
        return failure(errc::not_found, "no upstream has the address " +
                                            std::string(address) +
                                            "; use an address of a 'server' line");
    return new_text;
}

} // namespace pistachiospan::catalogue
