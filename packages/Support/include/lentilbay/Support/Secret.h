// Hashing and constant-time comparison of keys, and random identifiers, implemented with OpenSSL.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lentilbay {

using Sha256Digest = std::array<uint8_t, 32>;

/// SHA-256 of the bytes.
Sha256Digest sha256(std::string_view bytes);

/// The bytes as lower-case hexadecimal digits.
std::string toHex(const uint8_t* bytes, size_t count);

/// SHA-256 of the bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

/// Returns "<salt>$<hash>", the form in which the configuration stores a key. The hash is the SHA-256 of
/// salt, "$" and key in hexadecimal. The salt must not contain "$".
std::string hashKey(std::string_view key, std::string_view salt);

/// Uses a random salt of 128 bits.
std::string hashKey(std::string_view key);

/// Whether the key has this hash. The time does not depend on where the hashes differ.
bool keyMatches(std::string_view key, std::string_view saltedHash);

/// Compares secrets in a time that depends only on their lengths.
bool equalInConstantTime(std::string_view left, std::string_view right);

/// The given number of cryptographically secure random bytes, as hexadecimal digits (two per byte).
std::string randomHex(size_t bytes);

/// 64 cryptographically secure random bits.
uint64_t randomNumber();

} // namespace lentilbay
