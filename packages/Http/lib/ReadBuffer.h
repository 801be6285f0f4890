// The read buffer that all connections of an event loop share. Its thread performs all reads and parses each
// of them before the next one, so a connection needs no buffer of its own.
#pragma once

#include <array>
#include <cstddef>

namespace lentilbay::http {

/// Upper bound of one read; nearly every request fits.
constexpr size_t readBufferBytes = 65'536;

inline std::array<char, readBufferBytes>& readBuffer()
{
    static thread_local std::array<char, readBufferBytes> buffer;
    return buffer;
}

} // namespace lentilbay::http
