// cereal archives for untrusted input: allocation while reading is bounded by the size of the packet.
//
// cereal's portable binary archive resizes a vector to the encoded size before it checks that the input has
// that many bytes, and encodes each size in 8 bytes. These archives check each size against the remaining
// input and encode sizes below 255 in one byte. Integers are little-endian.
#pragma once

#include <bit>
#include <cereal/cereal.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <concepts>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

namespace lentilbay {

/// The first byte of a size of 255 or more; the size follows in four bytes.
constexpr uint8_t longSizeMarker = 255;

class MessageOutputArchive
    : public cereal::OutputArchive<MessageOutputArchive, cereal::AllowEmptyClassElision> {
public:
    explicit MessageOutputArchive(std::string& bytes)
        : OutputArchive(this)
        , m_bytes(bytes)
    {
    }

    void writeBytes(const void* data, size_t size) { m_bytes.append(static_cast<const char*>(data), size); }

    template <std::unsigned_integral T> void writeInteger(T value)
    {
        for (size_t i = 0; i < sizeof(T); ++i)
            m_bytes.push_back(static_cast<char>(static_cast<uint8_t>(value >> (8 * i))));
    }

    void writeSize(uint64_t size)
    {
        if (size < longSizeMarker)
            return writeInteger(static_cast<uint8_t>(size));
        writeInteger(longSizeMarker);
        writeInteger(static_cast<uint32_t>(size));
    }

private:
    std::string& m_bytes;
};

class MessageInputArchive : public cereal::InputArchive<MessageInputArchive, cereal::AllowEmptyClassElision> {
public:
    explicit MessageInputArchive(std::string_view bytes)
        : InputArchive(this)
        , m_remaining(bytes)
    {
    }

    size_t remaining() const { return m_remaining.size(); }

    std::string_view readBytes(size_t size)
    {
        if (size > m_remaining.size())
            throw cereal::Exception("unexpected end of packet");
        const auto out = m_remaining.substr(0, size);
        m_remaining.remove_prefix(size);
        return out;
    }

    template <std::unsigned_integral T> T readInteger()
    {
        const auto bytes = readBytes(sizeof(T));
        uint64_t value = 0;
        for (size_t i = 0; i < sizeof(T); ++i)
            value |= static_cast<uint64_t>(static_cast<uint8_t>(bytes[i])) << (8 * i);
        return static_cast<T>(value);
    }

    /// Reads a size. Each element takes at least one byte, so a size larger than the remaining input is an
    /// error.
    uint64_t readSize()
    {
        uint64_t size = readInteger<uint8_t>();
        if (size == longSizeMarker)
            size = readInteger<uint32_t>();
        if (size > m_remaining.size())
            throw cereal::Exception("size exceeds the remaining bytes of the packet");
        return size;
    }

private:
    std::string_view m_remaining;
};

template <class T>
requires std::is_arithmetic_v<T>
auto bitsOf(T value)
{
    if constexpr (std::is_same_v<T, double>)
        return std::bit_cast<uint64_t>(value);
    else if constexpr (std::is_same_v<T, float>)
        return std::bit_cast<uint32_t>(value);
    else if constexpr (std::is_same_v<T, bool>)
        return static_cast<uint8_t>(value ? 1 : 0);
    else
        return static_cast<std::make_unsigned_t<T>>(value);
}

template <class T>
requires std::is_arithmetic_v<T>
void save(MessageOutputArchive& archive, const T& value) { archive.writeInteger(bitsOf(value)); }

template <class T>
requires std::is_arithmetic_v<T>
void load(MessageInputArchive& archive, T& value)
{
    const auto bits = archive.readInteger<decltype(bitsOf(T {}))>();
    if constexpr (std::is_floating_point_v<T>)
        value = std::bit_cast<T>(bits);
    else if constexpr (std::is_same_v<T, bool>)
        value = bits != 0;
    else
        value = static_cast<T>(bits);
}

template <class T> void save(MessageOutputArchive& archive, const cereal::SizeTag<T>& tag)
{
    archive.writeSize(tag.size);
}

template <class T> void load(MessageInputArchive& archive, cereal::SizeTag<T>& tag)
{
    tag.size = archive.readSize();
}

template <class T> void save(MessageOutputArchive& archive, const cereal::BinaryData<T>& data)
{
    static_assert(sizeof(std::remove_pointer_t<std::decay_t<T>>) == 1,
        "only single-byte elements have a portable representation");
    archive.writeBytes(data.data, data.size);
}

template <class T> void load(MessageInputArchive& archive, cereal::BinaryData<T>& data)
{
    static_assert(sizeof(std::remove_pointer_t<std::decay_t<T>>) == 1,
        "only single-byte elements have a portable representation");
    const auto bytes = archive.readBytes(data.size);
    std::memcpy(data.data, bytes.data(), bytes.size());
}

} // namespace lentilbay

CEREAL_REGISTER_ARCHIVE(lentilbay::MessageOutputArchive)
CEREAL_REGISTER_ARCHIVE(lentilbay::MessageInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(lentilbay::MessageInputArchive, lentilbay::MessageOutputArchive)
