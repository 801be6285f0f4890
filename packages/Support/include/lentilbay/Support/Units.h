// Parsing and formatting of durations and sizes in human-readable form: "250ms", "1.5min", "128KiB".
#pragma once

#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lentilbay {

/// A non-negative number with one of the units us, ms, s, min, h, d; std::nullopt for any other text.
std::optional<Duration> parseDuration(std::string_view text);

/// The shortest exact form, for example "1500ms" or "2h".
std::string printDuration(Duration duration);

/// A whole number of bytes with an optional unit B, KiB, MiB or GiB.
std::optional<uint64_t> parseSize(std::string_view text);

/// A decimal integer without surrounding text.
std::optional<int64_t> parseInteger(std::string_view text);

/// A decimal integer without a sign.
std::optional<uint64_t> parseCount(std::string_view text);

/// A finite decimal number without surrounding text.
std::optional<double> parseNumber(std::string_view text);

} // namespace lentilbay
