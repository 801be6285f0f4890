// Computes, applies and prints differences between canonical documents.
#include "lentilbay/Model/ConfigurationDifference.h"

#include "lentilbay/Support/Secret.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <iterator>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace lentilbay {
namespace {

/// One section: its header without brackets, and its text including the header line but not the empty line
/// that separates it from the next section.
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

/// The sort key of a section in canonical order: its kind, for tiers the line with the rank, and its header.
std::tuple<size_t, std::string_view, std::string_view> sortKeyOf(
    std::string_view header, std::string_view text)
{
    constexpr std::array<std::string_view, 6> kinds { "objective", "tier", "organisation", "service",
        "endpoint", "model" };
    const auto kind = header.substr(0, header.find(' '));
    const auto index = static_cast<size_t>(std::find(kinds.begin(), kinds.end(), kind) - kinds.begin());
    // Ranks have one digit, so sorting the lines as text sorts the ranks.
    const auto body = text.substr(std::min(text.size(), header.size() + 3));
    return { index, kind == "tier" ? body.substr(0, body.find('\n')) : "", header };
}

std::vector<std::string_view> sortedCanonically(const std::map<std::string_view, std::string_view>& sections)
{
    using SortKey = std::tuple<size_t, std::string_view, std::string_view>;
    std::vector<std::pair<SortKey, std::string_view>> sorted;
    sorted.reserve(sections.size());
    for (const auto& [header, text] : sections)
        sorted.emplace_back(sortKeyOf(header, text), text);
    std::sort(sorted.begin(), sorted.end());
    std::vector<std::string_view> out;
    out.reserve(sorted.size());
    for (const auto& [key, text] : sorted)
        out.push_back(text);
    return out;
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

/// Prints the lines of a section that another one lacks, each prefixed by `sign`.
void printMissing(std::string& out, char sign, std::string_view section, std::string_view other)
{
    const auto otherLines = linesOf(other);
    for (const auto line : linesOf(section)) {
        if (!otherLines.contains(line))
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
    auto text = joined(sortedCanonically(sections));
    // The hash verifies the result, so it need not be parsed and checked again.
    if (sha256Hex(text) != difference.toHash)
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
