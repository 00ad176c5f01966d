// Random identifiers and hashes, implemented with libsodium and xxHash.
#include "helpers/ids.hpp"

#include <algorithm>
#include <array>
#include <sodium.h>
#include <xxhash.h>

namespace hibiscusbridge
{

template<std::size_t n>
static std::string toHex(const std::array<unsigned char, n> &bytes)
{
    std::array<char, n * 2 + 1> buf{};
    sodium_bin2hex(buf.data(), buf.size(), bytes.data(), bytes.size());
    return {buf.data()};
}

std::string randomId()
{
    std::array<unsigned char, 16> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    return toHex(bytes);
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
    crypto_hash_sha256(digest.data(), reinterpret_cast<const unsigned char *>(text.data()), text.size());
    return toHex(digest);
}

std::uint64_t stableHash(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

bool ownsSubject(std::string_view self, std::span<const std::string> members, std::string_view subject)
{
    const auto score = [&](std::string_view member) {
        return stableHash(std::string(member) + "/" + std::string(subject));
    };
    const auto own = score(self);
    return std::all_of(members.begin(), members.end(), [&](const auto &member) { return member == self || score(member) < own; });
}

bool equalSecrets(std::string_view a, std::string_view b)
{
    const auto hashA = sha256Hex(a);
    const auto hashB = sha256Hex(b);
    return sodium_memcmp(hashA.data(), hashB.data(), hashA.size()) == 0;
}

} // namespace hibiscusbridge
