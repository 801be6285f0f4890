// Hashes, comparisons and random bytes through OpenSSL's libcrypto.
#include "lentilbay/Support/Secret.h"

#include <cassert>
#include <cstring>
#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <stdexcept>
#include <vector>

namespace lentilbay {
namespace {

constexpr size_t saltBytes = 16;

void fillRandom(uint8_t* bytes, size_t count)
{
    if (RAND_bytes(bytes, static_cast<int>(count)) != 1)
        throw std::runtime_error("RAND_bytes() failed to provide random bytes");
}

} // namespace

Sha256Digest sha256(std::string_view bytes)
{
    Sha256Digest digest {};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
    return digest;
}

std::string toHex(const uint8_t* bytes, size_t count)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    out.reserve(2 * count);
    for (size_t i = 0; i < count; ++i) {
        out += digits[bytes[i] >> 4U];
        out += digits[bytes[i] & 15U];
    }
    return out;
}

std::string sha256Hex(std::string_view bytes)
{
    const auto digest = sha256(bytes);
    return toHex(digest.data(), digest.size());
}

std::string hashKey(std::string_view key, std::string_view salt)
{
    assert(salt.find('$') == std::string_view::npos && "the salt must not contain the separator");
    std::string salted(salt);
    salted += '$';
    const auto prefixSize = salted.size();
    salted += key;
    const auto hash = sha256Hex(salted);
    salted.resize(prefixSize);
    return salted + hash;
}

std::string hashKey(std::string_view key) { return hashKey(key, randomHex(saltBytes)); }

bool keyMatches(std::string_view key, std::string_view saltedHash)
{
    const auto separator = saltedHash.find('$');
    if (separator == std::string_view::npos)
        return false;
    return equalInConstantTime(hashKey(key, saltedHash.substr(0, separator)), saltedHash);
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string randomHex(size_t bytes)
{
    std::vector<uint8_t> buf(bytes);
    fillRandom(buf.data(), buf.size());
    return toHex(buf.data(), buf.size());
}

uint64_t randomNumber()
{
    std::array<uint8_t, sizeof(uint64_t)> buf {};
    fillRandom(buf.data(), buf.size());
    uint64_t number = 0;
    std::memcpy(&number, buf.data(), buf.size());
    return number;
}

} // namespace lentilbay
