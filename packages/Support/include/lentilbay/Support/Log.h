// Structured logs: numbered events with typed fields, as JSON lines or text, through spdlog.
//
// Events are listed in Event.def and in docs/Events.md. Neither secrets nor prompt text are ever logged, so
// a field holds an identifier, a number or a code.
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

/// A named value that goes with an event.
struct LogField {
    std::string_view name;
    std::variant<std::string, int64_t, double> value;
};

enum class LogFormat : uint8_t { Text, JsonLines };

enum class LogDestination : uint8_t {
    StandardError,
    /// Standard output through a buffer of bounded size. A reader that stalls never blocks the process: lines
    /// that find no room are dropped, and their number is written once there is room.
    BoundedStandardOutput,
};

struct LogOptions {
    LogFormat format = LogFormat::Text;
    /// trace, debug, info, warn, error or off.
    std::string level = "info";
    LogDestination destination = LogDestination::StandardError;
};

/// Sets where and how events are written ; called once before the first event.
void configureLog(const LogOptions& options);

/// Writes one event with its fields.
void logEvent(Event event, std::initializer_list<LogField> fields = {});

/// Lines that found no room in the buffer of standard output so far.
uint64_t droppedLogLines();

/// The text of an event in either format, without its time; for tests.
std::string formatEvent(Event event, std::initializer_list<LogField> fields, LogFormat format);

} // namespace lentilbay
