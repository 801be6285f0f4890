// Structured logging through spdlog: numbered events with typed fields, as JSON lines or text.
//
// Event.def and docs/Events.md list the events. Secrets and prompt text must never be logged, so a field
// holds an identifier, a number or a code.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lentilbay {

enum class Event : uint16_t {
#define LOG_EVENT(number, name, level, meaning) name = number,
#include "lentilbay/Support/Event.def"
#undef LOG_EVENT
};

/// One row of the table of log events.
struct EventRow {
    Event event;
    std::string_view name;
    std::string_view level;
    std::string_view meaning;
};

/// All rows in the order of their numbers.
const std::vector<EventRow>& eventTable();

/// A named value of an event.
struct LogField {
    std::string_view name;
    std::variant<std::string, int64_t, double> value;
};

enum class LogFormat : uint8_t { Text, JsonLines };

enum class LogDestination : uint8_t {
    StandardError,
    /// Standard output through a bounded buffer. A stalled reader never blocks the process: lines that do not
    /// fit are dropped, and an event with their number is written once there is room again.
    BoundedStandardOutput,
};

struct LogOptions {
    LogFormat format = LogFormat::Text;
    /// trace, debug, info, warn, error or off.
    std::string level = "info";
    LogDestination destination = LogDestination::StandardError;
};

/// Sets destination, format and level. Must be called once, before the first event.
void configureLog(const LogOptions& options);

/// Writes one event with its fields.
void logEvent(Event event, std::initializer_list<LogField> fields = {});

/// The number of lines dropped so far by LogDestination::BoundedStandardOutput.
uint64_t droppedLogLines();

/// The text of an event without time and level. For tests and for BoundedOutputSink.
std::string formatEvent(Event event, std::initializer_list<LogField> fields, LogFormat format);

} // namespace lentilbay
