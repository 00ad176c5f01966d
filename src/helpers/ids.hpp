// Random identifiers and hashes.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace hibiscusbridge
{

/// A random identifier of 32 hexadecimal digits (128 bits), unique across processes.
std::string randomId();

/// SHA-256 as 64 hexadecimal digits; for tokens and request bodies.
std::string sha256Hex(std::string_view text);

/// A fast hash that is equal on every machine; for rendezvous hashing, not for secrets.
std::uint64_t stableHash(std::string_view text);

/// Rendezvous hashing: true when `self` has the highest score of the members for the subject. `self` counts as a member.
bool ownsSubject(std::string_view self, std::span<const std::string> members, std::string_view subject);

/// Compares two secrets of any length in a time that does not depend on where they differ.
bool equalSecrets(std::string_view a, std::string_view b);

} // namespace hibiscusbridge
