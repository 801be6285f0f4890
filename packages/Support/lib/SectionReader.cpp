// Typed reading of one INI section.
#include "lentilbay/Support/SectionReader.h"

#include "lentilbay/Support/Units.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace lentilbay {
namespace {

constexpr double bytesPerKiB = 1024;

std::string formatBound(int64_t value) { return fmt::format("{}", value); }
std::string formatBound(double value) { return fmt::format("{}", value); }
std::string formatBound(Duration value) { return printDuration(value); }
std::string formatBound(uint64_t value)
{
    return value < bytesPerKiB ? fmt::format("{}B", value)
                               : fmt::format("{}KiB", static_cast<double>(value) / bytesPerKiB);
}

template <class T> std::string formatRange(const Range<T>& range)
{
    return fmt::format("allowed: {} to {}", formatBound(range.least), formatBound(range.most));
}

std::string trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return "";
    return std::string(text.substr(first, text.find_last_not_of(" \t") - first + 1));
}

/// Parses an entry and checks its range. Reports an invalid value, and returns the fallback if the value is
/// invalid or missing.
template <class T, class Parse>
T parseChecked(SectionReader& reader, const IniEntry* entry, T fallback, const Range<T>& range, Parse parse,
    std::string_view kind)
{
    if (entry == nullptr)
        return fallback;
    const std::optional<T> value = parse(entry->value);
    if (!value) {
        reader.report(ResultCode::WrongType, entry->key,
            fmt::format("'{}' is not {}; {}", entry->value, kind, formatRange(range)));
        return fallback;
    }
    if (*value < range.least || *value > range.most) {
        reader.report(ResultCode::OutOfRange, entry->key,
            fmt::format("'{}' is out of range; {}", entry->value, formatRange(range)));
        return fallback;
    }
    return *value;
}

} // namespace

SectionReader::SectionReader(const IniDocument& document, std::string section, Diagnostics& diagnostics)
    : m_file(document.file)
    , m_section(std::move(section))
    , m_diagnostics(diagnostics)
{
    for (const auto& entry : document.entries) {
        if (entry.section == m_section)
            m_entries.push_back(&entry);
    }
}

SectionReader::SectionReader(
    std::string file, std::string section, std::vector<const IniEntry*> entries, Diagnostics& diagnostics)
    : m_file(std::move(file))
    , m_section(std::move(section))
    , m_entries(std::move(entries))
    , m_diagnostics(diagnostics)
{
}

const IniEntry* SectionReader::find(const std::string& key) const
{
    for (const auto* entry : m_entries) {
        if (entry->key == key)
            return entry;
    }
    return nullptr;
}

const IniEntry* SectionReader::lookUp(const std::string& key)
{
    m_known.insert(key);
    return find(key);
}

std::string SectionReader::text(const std::string& key, std::string fallback)
{
    const auto* entry = lookUp(key);
    if (entry == nullptr)
        return fallback;
    return entry->value;
}

std::string SectionReader::requiredText(const std::string& key)
{
    const auto* entry = lookUp(key);
    if (entry == nullptr || entry->value.empty()) {
        report(ResultCode::MissingSetting, key, "the key is required and must not be empty");
        return "";
    }
    return entry->value;
}

std::string SectionReader::word(
    const std::string& key, std::string fallback, const std::vector<std::string>& allowed)
{
    const auto* entry = lookUp(key);
    if (entry == nullptr)
        return fallback;
    if (std::find(allowed.begin(), allowed.end(), entry->value) != allowed.end())
        return entry->value;
    report(ResultCode::WrongType, key,
        fmt::format("'{}' is not allowed; allowed: {}", entry->value, fmt::join(allowed, ", ")));
    return fallback;
}

int64_t SectionReader::integer(const std::string& key, int64_t fallback, Range<int64_t> range)
{
    return parseChecked(*this, lookUp(key), fallback, range, parseInteger, "a whole number");
}

double SectionReader::number(const std::string& key, double fallback, Range<double> range)
{
    return parseChecked(*this, lookUp(key), fallback, range, parseNumber, "a number");
}

Duration SectionReader::duration(const std::string& key, Duration fallback, Range<Duration> range)
{
    return parseChecked(*this, lookUp(key), fallback, range, parseDuration, "a duration such as 250ms");
}

std::optional<Duration> SectionReader::optionalDuration(const std::string& key, Range<Duration> range)
{
    if (lookUp(key) == nullptr)
        return std::nullopt;
    return duration(key, range.least, range);
}

uint64_t SectionReader::size(const std::string& key, uint64_t fallback, Range<uint64_t> range)
{
    return parseChecked(*this, lookUp(key), fallback, range, parseSize, "a size such as 64KiB");
}

bool SectionReader::flag(const std::string& key, bool fallback)
{
    return word(key, fallback ? "yes" : "no", { "yes", "no" }) == "yes";
}

std::vector<std::string> SectionReader::list(const std::string& key)
{
    std::vector<std::string> out;
    const auto* entry = lookUp(key);
    if (entry == nullptr)
        return out;
    std::string_view remaining = entry->value;
    while (!remaining.empty()) {
        const auto comma = std::min(remaining.find(','), remaining.size());
        auto word = trimmed(remaining.substr(0, comma));
        remaining.remove_prefix(std::min(comma + 1, remaining.size()));
        if (word.empty())
            report(ResultCode::WrongType, key, "the list has an empty word");
        else
            out.push_back(std::move(word));
    }
    return out;
}

std::vector<std::string> SectionReader::continuedList(const std::string& key)
{
    auto out = list(key);
    for (int n = 2; has(fmt::format("{}.{}", key, n)); ++n) {
        for (auto& word : list(fmt::format("{}.{}", key, n)))
            out.push_back(std::move(word));
    }
    return out;
}

std::vector<std::string> SectionReader::namesWithPrefix(const std::string& prefix)
{
    m_knownPrefixes.insert(prefix + ".");
    std::vector<std::string> out;
    for (const auto* entry : m_entries) {
        if (entry->key.starts_with(prefix + "."))
            out.push_back(entry->key.substr(prefix.size() + 1));
    }
    return out;
}

int SectionReader::lineOf(const std::string& key) const
{
    const auto* entry = find(key);
    return entry == nullptr ? 0 : entry->line;
}

void SectionReader::report(ResultCode code, const std::string& key, std::string message)
{
    m_diagnostics.push_back({ code, m_file, lineOf(key), m_section + "." + key, std::move(message) });
}

void SectionReader::reportUnknownKeys()
{
    const auto isKnown = [this](const std::string& key) {
        return m_known.contains(key)
            || std::any_of(m_knownPrefixes.begin(), m_knownPrefixes.end(),
                [&](const std::string& prefix) { return key.starts_with(prefix); });
    };
    auto allowed = m_known;
    for (const auto& prefix : m_knownPrefixes)
        allowed.insert(prefix + "<name>");
    for (const auto* entry : m_entries) {
        if (isKnown(entry->key))
            continue;
        report(ResultCode::UnknownSettingKey, entry->key,
            fmt::format("the key is not known; allowed: {}", fmt::join(allowed, ", ")));
    }
}

std::vector<std::string> sectionsOf(const IniDocument& document)
{
    std::vector<std::string> out;
    for (const auto& entry : document.entries) {
        if (std::find(out.begin(), out.end(), entry.section) == out.end())
            out.push_back(entry.section);
    }
    return out;
}

} // namespace lentilbay
