// Connections are read without a buffer of their own: all share one, since one thread parses each read at
// once.
#pragma once

#include <array>
#include <cstddef>

namespace lentilbay::http {

/// Bytes read at once; larger than nearly every request.
constexpr size_t readBytes = 65'536;

inline std::array<char, readBytes>& readBuffer()
{
    static std::array<char, readBytes> buffer;
    return buffer;
}

} // namespace lentilbay::http
