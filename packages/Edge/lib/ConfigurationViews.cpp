// Which peer's view of the configuration is read when, and what it confirms.
#include "lentilbay/Edge/ConfigurationViews.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <tuple>
#include <utility>

namespace lentilbay::edge {
namespace {

constexpr std::string_view viewName = "Lentilbay-Configuration-View";
constexpr std::string_view haveQuery = "?have=";
constexpr int hexadecimal = 16;

/// Time between two calls to peers. With the answer of a peer that has just not read the store itself, the
/// view may already be due again.
constexpr Duration retryPeriod = std::chrono::milliseconds(500);
/// Some daemons of a data centre read a view of this fraction of the bound from a peer if the store does not
/// answer them; the others learn of it by their heartbeats. Views that daemons which read the store have of
/// each other get nearly as old.
constexpr double firstFraction = 0.3;
/// Each daemon reads a view of this fraction. That is more than a daemon has for which another one reads the
/// store: 0.8 of the tightest bound, which is 2 s by default.
constexpr double overdueFraction = 0.55;
/// How many daemons of a data centre ask first: one may be partitioned from the other data centres.
constexpr size_t firstAskers = 2;

/// Reads a number from the begin of a text and removes it, and the separator that must follow unless it is 0.
bool takeNumber(std::string_view& text, auto& value, char separator, int base = 10)
{
    const auto* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value, base);
    if (read.ec != std::errc())
        return false;
    text.remove_prefix(static_cast<size_t>(read.ptr - text.data()));
    if (separator == 0)
        return text.empty();
    if (!text.starts_with(separator))
        return false;
    text.remove_prefix(1);
    return true;
}

} // namespace

std::optional<ConfigurationView> configurationViewOf(const TableView& table, uint64_t era)
{
    if (table.ageMicroseconds < 0)
        return std::nullopt;
    return ConfigurationView { .covered = { .era = era, .number = table.coveredVersion },
        .changed = { .era = era, .number = table.changedVersion },
        .age = Duration(table.ageMicroseconds) };
}

void addConfigurationView(http::Headers& headers, const ConfigurationView& view)
{
    headers.add(viewName,
        fmt::format(
            "{}.{} {} {}", view.covered.era, view.covered.number, view.changed.number, view.age.count()));
}

std::optional<ConfigurationView> configurationViewOf(const http::Headers& headers)
{
    const auto* value = headers.find(viewName);
    if (!value)
        return std::nullopt;
    std::string_view text = *value;
    ConfigurationView out;
    int64_t age = 0;
    if (!takeNumber(text, out.covered.era, '.') || !takeNumber(text, out.covered.number, ' ')
        || !takeNumber(text, out.changed.number, ' ') || !takeNumber(text, age, 0) || age < 0)
        return std::nullopt;
    out.changed.era = out.covered.era;
    out.age = Duration(age);
    return out;
}

std::string configurationTarget(uint64_t ownHash)
{
    return fmt::format("/configuration{}{:x}", haveQuery, ownHash);
}

std::optional<uint64_t> ownHashOf(std::string_view target)
{
    const auto at = target.find(haveQuery);
    if (at == std::string_view::npos)
        return std::nullopt;
    target.remove_prefix(at + haveQuery.size());
    uint64_t out = 0;
    return takeNumber(target, out, 0, hexadecimal) ? std::optional(out) : std::nullopt;
}

void ConfigurationViews::recordAnswer(const ConfigurationView& view, TimePoint askedAt)
{
    if (m_covered && view.covered.era < m_covered->era)
        return;
    const auto at = askedAt - view.age;
    m_covered = std::max(m_covered.value_or(view.covered), view.covered);
    m_changed = std::max(m_changed, view.changed);
    m_confirmedAt = std::max(m_confirmedAt, at);
}

bool ConfigurationViews::recordView(StoreVersion covered, StoreVersion changed, TimePoint at)
{
    if (!m_covered || covered.era != m_covered->era || changed > *m_covered)
        return false;
    m_covered = std::max(*m_covered, covered);
    m_changed = std::max(m_changed, changed);
    m_confirmedAt = std::max(m_confirmedAt, at);
    return true;
}

bool ConfigurationViews::asksFirst(const std::map<std::string, PeerTable::Peer>& peers) const
{
    const auto own = hashOf(m_daemon);
    const auto before = std::ranges::count_if(peers, [&](const auto& it) {
        const auto& [name, peer] = it;
        return !peer.isSilent && !peer.isLeaving && peer.dataCentre == m_topology.ownDataCentre.text()
            && hashOf(name) < own;
    });
    return std::cmp_less(before, firstAskers);
}

bool ConfigurationViews::isDue(const std::map<std::string, PeerTable::Peer>& peers, const Own& own) const
{
    const auto isAfter
        = [&](double fraction) { return own.age >= fromSeconds(toSeconds(m_bound) * fraction); };
    return isAfter(overdueFraction) || (own.isStoreUnreachable && isAfter(firstFraction) && asksFirst(peers));
}

std::optional<std::string> ConfigurationViews::nextSource(
    const std::map<std::string, PeerTable::Peer>& peers, const Own& own, TimePoint now)
{
    if (now - m_askedAt < retryPeriod || !isDue(peers, own))
        return std::nullopt;
    std::erase_if(m_asked, [&](const auto& it) { return !peers.contains(it.first); });
    // Peers of this data centre state their views in heartbeats. They come last if none of these is newer
    // than this daemon's own view. Among the near ones, the one that was asked longest ago comes first; the
    // hash spreads the calls of several daemons.
    using Rank = std::tuple<bool, Locality, TimePoint, uint64_t, std::string>;
    const bool knowsNearMore = own.nearAge < own.age;
    std::optional<Rank> best;
    for (const auto& [name, peer] : peers) {
        if (peer.isSilent || peer.isLeaving || peer.isOutdated || peer.incarnation == 0
            || !statesConfigurationView(peer.revision) || peer.configurationVersion < own.version)
            continue;
        const auto locality = m_topology.localityOf(DataCentreId(peer.dataCentre));
        const auto asked = m_asked.find(name);
        const Rank rank { locality == Locality::OwnDataCentre && !knowsNearMore, locality,
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
