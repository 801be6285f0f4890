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

struct LogOptions {
    LogFormat format = LogFormat::Text;
    /// trace, debug, info, warn, error or off.
    std::string level = "info";
};

/// Sets where and how events are written (standard error); called once before the first event.
void configureLog(const LogOptions& options);

/// Writes one event with its fields.
void logEvent(Event event, std::initializer_list<LogField> fields = {});

/// The text of an event in either format, without its time; for tests.
std::string formatEvent(Event event, std::initializer_list<LogField> fields, LogFormat format);

} // namespace lentilbay
