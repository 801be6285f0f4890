// Which peer's list of endpoints is read when, and the text in which lists are exchanged.
#include "lentilbay/Edge/EndpointCatchUp.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <tuple>
#include <utility>
#include <vector>

namespace lentilbay::edge {
namespace {

/// Time between two calls to peers.
constexpr Duration retryPeriod = std::chrono::milliseconds(300);
/// A list of this fraction of the bound is read from a peer if the store does not answer, and at the second
/// fraction in any case. A view that others read for this daemon may get nearly as old.
constexpr double unreachableFraction = 0.4;
constexpr double overdueFraction = 0.85;

constexpr std::string_view listPath = "/endpoints";
constexpr std::string_view afterQuery = "?after=";

/// Reads a text that is a number.
bool readNumber(std::string_view text, auto& value)
{
    const auto* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value);
    return read.ec == std::errc() && read.ptr == end;
}

/// Reads "<era>.<number>".
std::optional<StoreVersion> parseVersion(std::string_view text)
{
    StoreVersion out;
    const auto* end = text.data() + text.size();
    const auto era = std::from_chars(text.data(), end, out.era);
    if (era.ec != std::errc() || era.ptr == end || *era.ptr != '.')
        return std::nullopt;
    const auto number = std::from_chars(era.ptr + 1, end, out.number);
    return number.ec == std::errc() && number.ptr == end ? std::optional(out) : std::nullopt;
}

} // namespace

std::string encodeEndpointList(const EndpointList& list)
{
    auto out = fmt::format("{}.{} {} {} {}", list.rows.version.era, list.rows.version.number,
        list.changed.number, list.age.count(), list.isUnchanged ? 1 : 0);
    // Daemons of earlier versions read four fields, and take these entries for ones that are not deleted.
    for (size_t i = 0; i < list.rows.rows.size(); ++i) {
        const auto it = list.delayedDeletions.find(list.rows.rows[i].key);
        if (it != list.delayedDeletions.end())
            out += fmt::format(" {}:{}", i, it->second.count());
    }
    return out + '\n' + platform::encodeRows(list.rows);
}

Result<EndpointList> decodeEndpointList(std::string_view text)
{
    const auto endOfHead = text.find('\n');
    auto rest = text.substr(0, endOfHead);
    const auto nextField = [&] {
        const auto out = rest.substr(0, rest.find(' '));
        rest.remove_prefix(std::min(rest.size(), out.size() + 1));
        return out;
    };
    EndpointList out;
    const auto version = parseVersion(nextField());
    int64_t age = 0;
    int isUnchanged = 0;
    bool isValid = endOfHead != std::string_view::npos && version
        && readNumber(nextField(), out.changed.number) && readNumber(nextField(), age) && age >= 0
        && readNumber(nextField(), isUnchanged);
    std::vector<std::pair<size_t, int64_t>> delayed;
    while (isValid && !rest.empty()) {
        const auto field = nextField();
        const auto colon = field.find(':');
        auto& [index, left] = delayed.emplace_back();
        isValid = colon != std::string_view::npos && readNumber(field.substr(0, colon), index)
            && readNumber(field.substr(colon + 1), left) && left >= 0;
    }
    if (!isValid)
        return fail(ResultCode::MalformedRequest, "a peer's list of endpoints has an unknown form");
    out.changed.era = version->era;
    out.age = Duration(age);
    out.isUnchanged = isUnchanged != 0;
    BOOST_LEAF_AUTO(rows, platform::decodeRows(text.substr(endOfHead + 1), version->era));
    out.rows = std::move(rows);
    for (const auto& [index, left] : delayed) {
        if (index >= out.rows.rows.size())
            return fail(ResultCode::MalformedRequest, "a peer's list of endpoints lacks a deleted entry");
        out.delayedDeletions[out.rows.rows[index].key] = Duration(left);
    }
    return out;
}

std::string endpointListTarget(const EndpointListQuery& query)
{
    std::string out(listPath);
    if (query.covered)
        out += fmt::format("{}{}.{}", afterQuery, query.covered->era, query.covered->number);
    return out;
}

std::optional<EndpointListQuery> endpointListQueryOf(std::string_view target)
{
    if (target == listPath)
        return EndpointListQuery {};
    if (!target.starts_with(listPath))
        return std::nullopt;
    target.remove_prefix(listPath.size());
    if (!target.starts_with(afterQuery))
        return std::nullopt;
    return EndpointListQuery { .covered = parseVersion(target.substr(afterQuery.size())) };
}

bool EndpointCatchUp::isDue(const View& view) const
{
    const auto after
        = [&](double fraction) { return view.age >= fromSeconds(toSeconds(m_bound) * fraction); };
    return after(overdueFraction)
        || (view.isStoreUnreachable && (view.isBehind || after(unreachableFraction)));
}

std::optional<std::string> EndpointCatchUp::nextSource(
    const std::map<std::string, PeerTable::Peer>& peers, const View& view, TimePoint now)
{
    if (!isDue(view) || now - m_askedAt < retryPeriod)
        return std::nullopt;
    std::erase_if(m_asked, [&](const auto& it) { return !peers.contains(it.first); });
    // The near ones come first; among them, the one that was asked longest ago. The hash spreads the calls of
    // several daemons.
    using Rank = std::tuple<Locality, TimePoint, uint64_t, std::string>;
    std::optional<Rank> best;
    for (const auto& [name, peer] : peers) {
        if (peer.isSilent || peer.isLeaving || peer.isOutdated || peer.incarnation == 0)
            continue;
        const auto asked = m_asked.find(name);
        const Rank rank { m_topology.localityOf(DataCentreId(peer.dataCentre)),
            asked == m_asked.end() ? TimePoint {} : asked->second, hashOf(name, hashOf(m_daemon)), name };
        if (!best || rank < *best)
            best = rank;
    }
    if (!best)
        return std::nullopt;
    const auto& name = std::get<std::string>(*best);
    m_askedAt = m_asked[name] = now;
    return name;
}

} // namespace lentilbay::edge
