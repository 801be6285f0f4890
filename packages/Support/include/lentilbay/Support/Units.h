// Parses and prints durations and sizes as people write them: "250ms", "3s", "1.5min", "128KiB".
#pragma once

#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lentilbay {

/// A number with one of the units us, ms, s, min, h, d; nothing if the text is anything else.
std::optional<Duration> parseDuration(std::string_view text);

/// The shortest exact form, for example "1500ms" or "2h".
std::string printDuration(Duration duration);

/// A whole number of bytes with an optional unit B, KiB, MiB or GiB.
std::optional<uint64_t> parseSize(std::string_view text);

/// A whole number in decimal, and nothing else.
std::optional<int64_t> parseInteger(std::string_view text);

/// A whole number without a sign.
std::optional<uint64_t> parseCount(std::string_view text);

/// A finite number in decimal, and nothing else.
std::optional<double> parseNumber(std::string_view text);

} // namespace lentilbay
