// Parsing and formatting of durations, sizes and numbers.
#include "lentilbay/Support/Units.h"

#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace lentilbay {
namespace {

struct DurationUnit {
    std::string_view name;
    int64_t microseconds;
};

// In descending order, so that printDuration() finds the shortest exact form.
constexpr std::array<DurationUnit, 6> durationUnits { {
    { "d", 86'400'000'000 },
    { "h", 3'600'000'000 },
    { "min", 60'000'000 },
    { "s", 1'000'000 },
    { "ms", 1'000 },
    { "us", 1 },
} };

struct NumberAndUnit {
    double number = 0;
    std::string_view unit;
};

std::optional<NumberAndUnit> splitUnit(std::string_view text)
{
    NumberAndUnit out;
    const auto [end, ec]
        = std::from_chars(text.data(), text.data() + text.size(), out.number, std::chars_format::fixed);
    if (ec != std::errc {} || !std::isfinite(out.number) || out.number < 0)
        return std::nullopt;
    out.unit = text.substr(static_cast<size_t>(end - text.data()));
    while (!out.unit.empty() && out.unit.front() == ' ')
        out.unit.remove_prefix(1);
    return out;
}

template <class T> std::optional<T> parseEntire(std::string_view text)
{
    T value {};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace

std::optional<Duration> parseDuration(std::string_view text)
{
    // Below the range of int64_t, so that rounding cannot overflow.
    constexpr double maxMicroseconds = 1e17;
    const auto split = splitUnit(text);
    if (!split)
        return std::nullopt;
    for (const auto& unit : durationUnits) {
        if (unit.name != split->unit)
            continue;
        const double microseconds = split->number * static_cast<double>(unit.microseconds);
        if (microseconds > maxMicroseconds)
            return std::nullopt;
        return Duration { std::llround(microseconds) };
    }
    return std::nullopt;
}

std::string printDuration(Duration duration)
{
    for (const auto& unit : durationUnits) {
        if (duration.count() != 0 && duration.count() % unit.microseconds == 0)
            return std::to_string(duration.count() / unit.microseconds) + std::string(unit.name);
    }
    return "0s";
}

std::optional<uint64_t> parseSize(std::string_view text)
{
    const auto split = splitUnit(text);
    if (!split)
        return std::nullopt;
    const double factor = split->unit.empty() || split->unit == "B" ? 1
        : split->unit == "KiB"                                      ? 1024.0
        : split->unit == "MiB"                                      ? 1024.0 * 1024
        : split->unit == "GiB"                                      ? 1024.0 * 1024 * 1024
                                                                    : 0;
    const double bytes = split->number * factor;
    if (factor == 0 || bytes > 9e15 || bytes != std::floor(bytes))
        return std::nullopt;
    return static_cast<uint64_t>(bytes);
}

std::optional<int64_t> parseInteger(std::string_view text) { return parseEntire<int64_t>(text); }

std::optional<uint64_t> parseCount(std::string_view text) { return parseEntire<uint64_t>(text); }

std::optional<double> parseNumber(std::string_view text)
{
    auto value = parseEntire<double>(text);
    if (value && !std::isfinite(*value))
        return std::nullopt;
    return value;
}

} // namespace lentilbay
