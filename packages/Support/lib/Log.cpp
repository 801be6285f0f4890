// Writes numbered events through spdlog.
#include "lentilbay/Support/Log.h"

#include "BoundedOutput.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <fmt/format.h>
#include <iterator>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace lentilbay {
namespace {

LogFormat currentFormat = LogFormat::Text;

std::shared_ptr<BoundedOutputSink> boundedOutput;

/// Indexed by number, because it runs for each log line.
const EventRow& rowOf(Event event)
{
    constexpr size_t maxEvents = 1000;
    static const auto rows = [] {
        std::array<const EventRow*, maxEvents> out {};
        for (const auto& row : eventTable())
            out[static_cast<size_t>(row.event)] = &row;
        return out;
    }();
    const auto* row = rows.at(static_cast<size_t>(event));
    assert(row && "every event has a row");
    return *row;
}

spdlog::level::level_enum levelOf(const EventRow& row)
{
    if (row.level == "debug")
        return spdlog::level::debug;
    if (row.level == "info")
        return spdlog::level::info;
    return row.level == "warn" ? spdlog::level::warn : spdlog::level::err;
}

using Buffer = fmt::memory_buffer;

void append(Buffer& out, std::string_view text) { out.append(text.data(), text.data() + text.size()); }

void appendQuoted(Buffer& out, std::string_view text)
{
    out.push_back('"');
    for (char c : text) {
        if (c == '"' || c == '\\')
            out.push_back('\\');
        if (static_cast<unsigned char>(c) < 0x20)
            fmt::format_to(std::back_inserter(out), "\\u{:04x}", static_cast<unsigned>(c));
        else
            out.push_back(c);
    }
    out.push_back('"');
}

void appendField(Buffer& out, const LogField& field, bool isJson)
{
    append(out, isJson ? ",\"" : " ");
    append(out, field.name);
    append(out, isJson ? "\":" : "=");
    if (const auto* text = std::get_if<std::string>(&field.value))
        appendQuoted(out, *text);
    else if (const auto* number = std::get_if<int64_t>(&field.value))
        append(out, std::string_view(fmt::format_int(*number).c_str()));
    else
        fmt::format_to(std::back_inserter(out), "{}", std::get<double>(field.value));
}

/// Avoids temporary strings, because each decision on a request writes a line.
void appendEvent(Buffer& out, Event event, std::initializer_list<LogField> fields, LogFormat format)
{
    const auto& row = rowOf(event);
    const bool isJson = format == LogFormat::JsonLines;
    append(out, isJson ? "\"event\":\"LE-" : "LE-");
    append(out, std::string_view(fmt::format_int(static_cast<unsigned>(event)).c_str()));
    append(out, isJson ? "\",\"name\":\"" : " ");
    append(out, row.name);
    if (isJson)
        out.push_back('"');
    for (const auto& field : fields)
        appendField(out, field, isJson);
}

} // namespace

const std::vector<EventRow>& eventTable()
{
    static const std::vector<EventRow> table {
#define LOG_EVENT(number, name, level, meaning) { Event::name, #name, #level, meaning },
#include "lentilbay/Support/Event.def"
#undef LOG_EVENT
    };
    return table;
}

std::string formatEvent(Event event, std::initializer_list<LogField> fields, LogFormat format)
{
    Buffer out;
    appendEvent(out, event, fields, format);
    return { out.data(), out.size() };
}

void configureLog(const LogOptions& options)
{
    currentFormat = options.format;
    std::shared_ptr<spdlog::logger> logger;
    if (options.destination == LogDestination::BoundedStandardOutput) {
        boundedOutput = std::make_shared<BoundedOutputSink>(STDOUT_FILENO);
        logger = std::make_shared<spdlog::logger>("lentilbay", boundedOutput);
    } else {
        logger = spdlog::stderr_logger_mt("lentilbay");
    }
    if (options.format == LogFormat::JsonLines)
        logger->set_pattern(
            R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l",%v})", spdlog::pattern_time_type::utc);
    else
        logger->set_pattern("%Y-%m-%dT%H:%M:%S.%fZ %l %v", spdlog::pattern_time_type::utc);
    logger->set_level(spdlog::level::from_str(options.level));
    logger->flush_on(spdlog::level::warn);
    spdlog::set_default_logger(std::move(logger));
}

uint64_t droppedLogLines() { return boundedOutput ? boundedOutput->dropped() : 0; }

void logEvent(Event event, std::initializer_list<LogField> fields)
{
    const auto level = levelOf(rowOf(event));
    if (!spdlog::should_log(level))
        return;
    Buffer out;
    appendEvent(out, event, fields, currentFormat);
    spdlog::log(level, spdlog::string_view_t(out.data(), out.size()));
}

} // namespace lentilbay
