// Feeds text to inih line by line and counts the lines, since inih does not pass line numbers to its handler.
#include "lentilbay/Support/Ini.h"

#include <algorithm>
#include <cstring>
#include <fstream>
#include <ini.h>
#include <map>
#include <sstream>
#include <utility>

namespace lentilbay {
namespace {

/// The state shared by inih's callbacks: the reader counts lines, the handler stores entries.
struct ParseState {
    std::string_view remaining;
    int line = 0;
    IniDocument document;
    Diagnostics* diagnostics = nullptr;
    std::map<std::pair<std::string, std::string>, int> firstLines;

    void report(ResultCode code, std::string key, std::string message)
    {
        diagnostics->push_back({ code, document.file, line, std::move(key), std::move(message) });
    }

    /// Records a section line. Returns false if a name exceeds maxIniName, because inih truncates longer ones
    /// silently.
    bool recordSection(std::string_view text)
    {
        if (text.empty() || text.front() == ';' || text.front() == '#')
            return true;
        const bool isSection = text.front() == '[';
        auto name = isSection ? text.substr(1, text.find(']') - 1) : text.substr(0, text.find_first_of("=:"));
        name = name.substr(0, name.find_last_not_of(" \t\r") + 1);
        if (name.size() > maxIniName) {
            report(ResultCode::SettingsSyntax, std::string(name),
                "the name is longer than " + std::to_string(maxIniName) + " bytes");
            return false;
        }
        if (isSection)
            document.sections.push_back({ std::string(name), line });
        return true;
    }
};

/// Passes inih the next line, or an empty one in place of an invalid line.
char* readLine(char* buf, int size, void* stream)
{
    auto& state = *static_cast<ParseState*>(stream);
    if (state.remaining.empty())
        return nullptr;
    const auto end = std::min(state.remaining.find('\n'), state.remaining.size());
    auto text = state.remaining.substr(0, end);
    state.remaining.remove_prefix(std::min(end + 1, state.remaining.size()));
    ++state.line;
    const auto maxLength = static_cast<size_t>(size) - 2;
    if (text.size() > maxLength) {
        state.report(ResultCode::SettingsSyntax, "",
            "the line is longer than " + std::to_string(maxLength) + " bytes");
        text = {};
    }
    if (text.find('\0') != std::string_view::npos) {
        state.report(ResultCode::SettingsSyntax, "", "the line holds a zero byte");
        text = {};
    }
    const bool indented = !text.empty() && (text.front() == ' ' || text.front() == '\t');
    if (indented && text.find_first_not_of(" \t\r") != std::string_view::npos) {
        state.report(ResultCode::SettingsSyntax, "", "the line is indented; a value stands on one line");
        text = {};
    }
    if (!state.recordSection(text))
        text = {};
    // Not memcpy(): a rejected line is an empty view with a null pointer.
    std::ranges::copy(text, buf);
    buf[text.size()] = '\n';
    buf[text.size() + 1] = '\0';
    return buf;
}

int storeEntry(void* user, const char* section, const char* name, const char* value)
{
    auto& state = *static_cast<ParseState*>(user);
    const auto [it, isNew] = state.firstLines.try_emplace({ section, name }, state.line);
    if (!isNew) {
        state.report(ResultCode::DuplicateSettingKey, std::string(section) + "." + name,
            "the key stands in line " + std::to_string(it->second) + " already");
        return 1;
    }
    state.document.entries.push_back({ section, name, value == nullptr ? "" : value, state.line });
    return 1;
}

} // namespace

std::string printed(const Diagnostic& diagnostic)
{
    std::string out = diagnostic.file;
    if (diagnostic.line > 0)
        out += ":" + std::to_string(diagnostic.line);
    out += ": " + printed(diagnostic.code);
    if (!diagnostic.key.empty())
        out += " " + diagnostic.key;
    return out + ": " + diagnostic.message;
}

IniDocument parseIni(std::string_view text, std::string file, Diagnostics& diagnostics)
{
    ParseState state { .remaining = text,
        .document = { .file = std::move(file), .entries = {} },
        .diagnostics = &diagnostics,
        .firstLines = {} };
    const int firstError = ini_parse_stream(readLine, &state, storeEntry, &state);
    if (firstError > 0) {
        state.line = firstError;
        state.report(
            ResultCode::SettingsSyntax, "", "the line is neither a [section], a key = value nor a comment");
    }
    return std::move(state.document);
}

IniDocument readIniFile(const std::string& path, Diagnostics& diagnostics)
{
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        diagnostics.push_back({ ResultCode::SettingsUnreadable, path, 0, "", "the file cannot be opened" });
        return { .file = path, .entries = {} };
    }
    std::ostringstream buf;
    buf << in.rdbuf();
    return parseIni(buf.str(), path, diagnostics);
}

} // namespace lentilbay
