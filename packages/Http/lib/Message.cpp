// Header fields, reason phrases and hop-by-hop filtering, for servers and clients.
#include "lentilbay/Http/Message.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <utility>

namespace lentilbay::http {
namespace {

char toLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; }

constexpr std::array<std::string_view, 9> hopByHopNames { "Connection", "Keep-Alive", "Proxy-Connection",
    "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade" };

constexpr std::array<std::pair<int, std::string_view>, 17> reasonPhrases { { { 100, "Continue" },
    { 200, "OK" }, { 400, "Bad Request" }, { 401, "Unauthorized" }, { 403, "Forbidden" },
    { 404, "Not Found" }, { 405, "Method Not Allowed" }, { 408, "Request Timeout" },
    { 413, "Content Too Large" }, { 421, "Misdirected Request" }, { 429, "Too Many Requests" },
    { 431, "Request Header Fields Too Large" }, { 500, "Internal Server Error" }, { 501, "Not Implemented" },
    { 502, "Bad Gateway" }, { 503, "Service Unavailable" }, { 504, "Gateway Timeout" } } };

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

} // namespace

bool sameHeaderName(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, [](char x, char y) { return toLower(x) == toLower(y); });
}

const std::string* Headers::find(std::string_view name) const
{
    auto it
        = std::ranges::find_if(m_fields, [&](const auto& field) { return sameHeaderName(field.name, name); });
    return it == m_fields.end() ? nullptr : &it->value;
}

void Headers::remove(std::string_view name)
{
    std::erase_if(m_fields, [&](const auto& field) { return sameHeaderName(field.name, name); });
}

size_t memoryOf(const Headers& headers)
{
    size_t out = 0;
    for (const auto& it : headers.fields())
        out += headerFieldOverhead + it.name.size() + it.value.size();
    return out;
}

std::string_view reasonPhrase(int status)
{
    auto it = std::ranges::find(reasonPhrases, status, &std::pair<int, std::string_view>::first);
    return it == reasonPhrases.end() ? std::string_view("Unknown") : it->second;
}

void removeHopByHop(Headers& headers, const std::vector<std::string_view>& preserved)
{
    std::vector<std::string> connectionOptions;
    for (const auto& field : headers.fields()) {
        if (!sameHeaderName(field.name, "Connection"))
            continue;
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const auto comma = rest.find(',');
            const auto name = trimmed(rest.substr(0, comma));
            rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
            const bool isPreserved
                = std::ranges::any_of(preserved, [&](auto it) { return sameHeaderName(it, name); });
            if (!name.empty() && !isPreserved)
                connectionOptions.emplace_back(name);
        }
    }
    std::erase_if(headers.fields(), [&](const auto& field) {
        const auto matches = [&](std::string_view name) { return sameHeaderName(field.name, name); };
        return std::ranges::any_of(hopByHopNames, matches) || std::ranges::any_of(connectionOptions, matches);
    });
}

void appendHeaders(std::string& out, const Headers& headers)
{
    for (const auto& field : headers.fields()) {
        out += field.name;
        out += ": ";
        out += field.value;
        out += "\r\n";
    }
}

} // namespace lentilbay::http
