// Differences of canonical documents.
#include "lentilbay/Model/ConfigurationDifference.h"

#include "lentilbay/Model/ConfigurationText.h"
#include "lentilbay/Support/Secret.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <map>
#include <set>

namespace lentilbay {
namespace {

/// One section: its header without brackets, and its lines with the header, without the empty line after it.
struct SectionText {
    std::string_view header;
    std::string_view text;
};

std::vector<SectionText> sectionsIn(std::string_view document)
{
    constexpr std::string_view separator = "\n\n";
    std::vector<SectionText> out;
    while (!document.empty()) {
        const auto end = std::min(document.find(separator), document.size() - 1);
        const auto text = document.substr(0, end + 1);
        out.push_back({ text.substr(1, text.find(']') - 1), text });
        document.remove_prefix(std::min(end + separator.size(), document.size()));
    }
    return out;
}

std::map<std::string_view, std::string_view> sectionsByHeader(std::string_view document)
{
    std::map<std::string_view, std::string_view> out;
    for (const auto& it : sectionsIn(document))
        out.emplace(it.header, it.text);
    return out;
}

std::string joined(const std::vector<std::string_view>& sections)
{
    return fmt::format("{}", fmt::join(sections, "\n"));
}

std::set<std::string_view> linesOf(std::string_view section)
{
    std::set<std::string_view> out;
    while (!section.empty()) {
        const auto end = std::min(section.find('\n'), section.size() - 1);
        out.insert(section.substr(0, end));
        section.remove_prefix(end + 1);
    }
    return out;
}

/// The lines of a section that another one does not have, each with a sign.
void printMissing(std::string& out, char sign, std::string_view section, std::string_view other)
{
    const auto known = linesOf(other);
    for (const auto line : linesOf(section)) {
        if (!known.contains(line))
            fmt::format_to(std::back_inserter(out), "{} {}\n", sign, line);
    }
}

} // namespace

ConfigurationDifference differenceOf(std::string_view from, std::string_view to)
{
    ConfigurationDifference out {
        .fromHash = sha256Hex(from), .toHash = sha256Hex(to), .removed = {}, .changed = {}
    };
    const auto before = sectionsByHeader(from);
    const auto after = sectionsByHeader(to);
    for (const auto& [header, text] : before) {
        if (!after.contains(header))
            out.removed.emplace_back(header);
    }
    std::vector<std::string_view> changed;
    for (const auto& [header, text] : after) {
        auto it = before.find(header);
        if (it == before.end() || it->second != text)
            changed.push_back(text);
    }
    out.changed = joined(changed);
    return out;
}

Result<std::string> applyDifference(std::string_view base, const ConfigurationDifference& difference)
{
    if (sha256Hex(base) != difference.fromHash)
        return fail(ResultCode::WrongBase, "the difference starts from another document");
    auto sections = sectionsByHeader(base);
    for (const auto& header : difference.removed)
        sections.erase(header);
    for (const auto& it : sectionsIn(difference.changed))
        sections[it.header] = it.text;
    std::vector<std::string_view> texts;
    texts.reserve(sections.size());
    for (const auto& [header, text] : sections)
        texts.push_back(text);
    // Parsing sorts the sections and checks them again; the hash then proves the result.
    Diagnostics diagnostics;
    const auto configuration = parseConfiguration(joined(texts), "difference", diagnostics);
    auto text = printConfiguration(configuration);
    if (!diagnostics.empty() || sha256Hex(text) != difference.toHash)
        return fail(ResultCode::WrongBase, "the difference does not lead to the document that it names");
    return text;
}

std::string printDifference(std::string_view from, std::string_view to)
{
    std::string out;
    const auto before = sectionsByHeader(from);
    const auto after = sectionsByHeader(to);
    for (const auto& [header, text] : before) {
        if (auto it = after.find(header); it == after.end()) {
            fmt::format_to(std::back_inserter(out), "- [{}]\n", header);
        } else if (it->second != text) {
            fmt::format_to(std::back_inserter(out), "  [{}]\n", header);
            printMissing(out, '-', text, it->second);
            printMissing(out, '+', it->second, text);
        }
    }
    for (const auto& [header, text] : after) {
        if (before.contains(header))
            continue;
        fmt::format_to(std::back_inserter(out), "+ [{}]\n", header);
        printMissing(out, '+', text, fmt::format("[{}]\n", header));
    }
    return out;
}

} // namespace lentilbay
