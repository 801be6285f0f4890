// Bearer keys and random identifiers: salted hashes, comparison in constant time and random bytes, by
// OpenSSL.
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

/// Lower-case hexadecimal digits of the bytes.
std::string printedHex(const uint8_t* bytes, size_t count);

/// SHA-256 of the bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

/// "<salt>$<hash>": the form in which the configuration holds a key. The hash is SHA-256 of salt, "$" and key
/// in hexadecimal. The salt must hold no "$".
std::string hashKey(std::string_view key, std::string_view salt);

/// The same with a random salt of 128 bits.
std::string hashKey(std::string_view key);

/// Whether the key is the one that was hashed; takes the same time wherever the hashes differ.
bool keyMatches(std::string_view key, std::string_view saltedHash);

/// Compares secrets in a time that depends on their lengths alone.
bool equalInConstantTime(std::string_view left, std::string_view right);

/// Random bytes from the operating system's generator, as twice as many hexadecimal digits.
std::string randomHex(size_t bytes);

/// 64 random bits.
uint64_t randomNumber();

} // namespace lentilbay
