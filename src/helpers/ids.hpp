// Random identifiers and hashes.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace hibiscusbridge
{

/// Returns a random 128-bit identifier as 32 hexadecimal digits, unique across processes.
std::string randomId();

/// Returns the SHA-256 digest as 64 hexadecimal digits. Used for tokens and request bodies.
std::string sha256Hex(std::string_view text);

/// Non-cryptographic hash with the same result on every machine. Used for rendezvous hashing; not suitable for secrets.
std::uint64_t stableHash(std::string_view text);

/// Rendezvous hashing: returns true if `self` has the highest score for `subject` among the members. `self` always counts as
/// a member.
bool ownsSubject(std::string_view self, std::span<const std::string> members, std::string_view subject);

/// Constant-time comparison of two secrets of any length: the duration does not depend on where they differ.
bool equalSecrets(std::string_view a, std::string_view b);

} // namespace hibiscusbridge
