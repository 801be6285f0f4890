// Compact encodings of fields for cereal archives: integers in groups of seven bits, the lowest first, with a
// continuation bit, and what is built from them. Decoding throws cereal::Exception on invalid input.
#pragma once

#include <bit>
#include <cereal/archives/portable_binary.hpp>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace lentilbay::edge::compact {

/// Upper bound of the elements of a list and of the bytes of a text: no datagram holds more.
constexpr uint64_t maxLength = 65'536;

template <class Archive> void integer(Archive& archive, uint64_t& value)
{
    constexpr unsigned bits = 7;
    constexpr uint8_t continues = 1U << bits;
    if constexpr (Archive::is_saving::value) {
        auto rest = value;
        for (; rest >= continues; rest >>= bits)
            archive(static_cast<uint8_t>(rest | continues));
        archive(static_cast<uint8_t>(rest));
    } else {
        constexpr unsigned width = 64;
        value = 0;
        uint8_t byte = continues;
        for (unsigned shift = 0; (byte & continues) != 0; shift += bits) {
            if (shift >= width)
                throw cereal::Exception("an integer has too many bytes");
            archive(byte);
            value |= static_cast<uint64_t>(byte & (continues - 1U)) << shift;
        }
    }
}

/// An integer of another type, which is read back unchanged if it fits into 64 bits without a sign.
template <class Archive, class T> void integerAs(Archive& archive, T& value)
{
    auto out = static_cast<uint64_t>(value);
    integer(archive, out);
    value = static_cast<T>(out);
}

/// Microseconds since an event, or -1 for never.
template <class Archive> void age(Archive& archive, int64_t& value)
{
    auto out = static_cast<uint64_t>(value) + 1;
    integer(archive, out);
    value = static_cast<int64_t>(out - 1);
}

/// A number, short if it is a small integer: then the low bytes of its representation are zero.
template <class Archive> void number(Archive& archive, double& value)
{
    auto bits = __builtin_bswap64(std::bit_cast<uint64_t>(value));
    integer(archive, bits);
    value = std::bit_cast<double>(__builtin_bswap64(bits));
}

template <class Archive, class T, class Element>
void list(Archive& archive, std::vector<T>& values, Element element)
{
    uint64_t n = values.size();
    integer(archive, n);
    if constexpr (!Archive::is_saving::value) {
        if (n > maxLength)
            throw cereal::Exception("a list is too long");
        values.clear();
        for (uint64_t i = 0; i < n; ++i)
            element(values.emplace_back());
    } else {
        for (auto& it : values)
            element(it);
    }
}

template <class Archive> void text(Archive& archive, std::string& value)
{
    uint64_t n = value.size();
    integer(archive, n);
    if (n > maxLength)
        throw cereal::Exception("a text is too long");
    value.resize(n);
    archive(cereal::binary_data(value.data(), value.size()));
}

/// Up to eight flags in one byte.
template <class Archive, class... Flags> void flags(Archive& archive, Flags&... values)
{
    static_assert(sizeof...(Flags) <= 8);
    uint8_t byte = 0;
    unsigned bit = 0;
    ((byte = static_cast<uint8_t>(byte | (static_cast<unsigned>(values) << bit++))), ...);
    archive(byte);
    bit = 0;
    ((values = ((byte >> bit++) & 1U) != 0), ...);
}

} // namespace lentilbay::edge::compact
