// Shares of request rates that endpoints state, and the life of a statement.
#include "lentilbay/Edge/EndpointSignalTable.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <functional>
#include <tuple>

namespace lentilbay::edge {
namespace {

/// Upper bound of the time between two sends, and the time without an answer after which one more daemon may
/// send: only an answer can show that an endpoint has withdrawn its limit.
constexpr Duration maxInterval = std::chrono::seconds(5);
/// Lower bound of the rate from which an interval is computed; gives the longest interval.
constexpr double minRate = 0.01;
/// How long peers are told of a withdrawal or a departure; they receive several heartbeats in this time.
constexpr Duration reportLifetime = std::chrono::seconds(5);
/// A statement that no answer has confirmed for this long belongs to an endpoint that is gone.
constexpr Duration statementLifetime = std::chrono::minutes(10);

} // namespace

void EndpointSignalTable::setDaemons(const std::string& self, std::vector<SendingDaemon> daemons)
{
    if (m_self == self && m_daemons == daemons)
        return;
    m_self = self;
    m_daemons = std::move(daemons);
    for (auto& [endpoint, entry] : m_entries)
        divide(endpoint, entry);
}

void EndpointSignalTable::divide(uint64_t endpoint, Entry& entry) const
{
    entry.interval = {};
    const auto rate = entry.signals.maxRequestsPerSecond;
    if (!rate)
        return;
    assert(std::isfinite(*rate) && *rate >= 0 && "a limit is a finite, non-negative number");
    const auto keyOf = [&](const SendingDaemon& it) {
        return std::make_tuple(
            it.dataCentre != entry.dataCentre, hashOf(it.name, endpoint), std::ref(it.name));
    };
    const auto self = std::ranges::find(m_daemons, m_self, &SendingDaemon::name);
    entry.rank = self == m_daemons.end()
        ? m_daemons.size()
        : std::ranges::count_if(m_daemons, [&](const auto& it) { return keyOf(it) < keyOf(*self); });
    const double senders = std::min(static_cast<double>(m_daemons.size()), 1 + std::floor(*rate));
    entry.senders = static_cast<size_t>(senders);
    entry.interval = fromSeconds(std::min(toSeconds(maxInterval), senders / std::max(*rate, minRate)));
}

bool EndpointSignalTable::update(Entry& entry, EndpointSignals signals, TimePoint statedAt, uint64_t endpoint)
{
    signals.isLeaving = signals.isLeaving || entry.signals.isLeaving;
    entry.statedAt = std::max(entry.statedAt, statedAt);
    if (entry.signals == signals)
        return false;
    entry.signals = signals;
    divide(endpoint, entry);
    return true;
}

bool EndpointSignalTable::recordAnswer(const SignalAnswer& answer, TimePoint now)
{
    const auto it = m_entries.find(answer.endpoint.endpoint);
    if (answer.signals == EndpointSignals {}) {
        if (it == m_entries.end() || !answer.isAttributed || answer.sentAt <= it->second.statedAt)
            return false;
        return update(it->second, answer.signals, now, answer.endpoint.endpoint);
    }
    return update(entryOf(answer.endpoint), answer.signals, now, answer.endpoint.endpoint);
}

EndpointSignalTable::Entry& EndpointSignalTable::entryOf(const EndpointIncarnation& endpoint)
{
    auto& out = m_entries[endpoint.endpoint];
    out.dataCentre = endpoint.dataCentre;
    out.startedAtMilliseconds = endpoint.startedAtMilliseconds;
    return out;
}

void EndpointSignalTable::recordPause(const EndpointIncarnation& endpoint, TimePoint until)
{
    auto& entry = entryOf(endpoint);
    entry.pausedUntil = std::max(entry.pausedUntil, until);
}

bool EndpointSignalTable::isPaused(uint64_t endpoint, TimePoint now) const
{
    const auto it = m_entries.find(endpoint);
    return it != m_entries.end() && now < it->second.pausedUntil;
}

void EndpointSignalTable::endpointListed(const EndpointIncarnation& endpoint)
{
    const auto it = m_entries.find(endpoint.endpoint);
    if (it != m_entries.end() && endpoint.startedAtMilliseconds > it->second.startedAtMilliseconds)
        m_entries.erase(it);
}

bool EndpointSignalTable::applyReport(
    const SignalReport& report, const EndpointIncarnation& endpoint, TimePoint at, TimePoint now)
{
    if (report.startedAtMilliseconds != endpoint.startedAtMilliseconds)
        return false;
    const auto rate = report.signals.maxRequestsPerSecond;
    if (rate && (!std::isfinite(*rate) || *rate < 0))
        return false;
    const auto statedAt = at - Duration(report.ageMicroseconds);
    const auto it = m_entries.find(report.endpoint);
    if (it == m_entries.end()) {
        if (report.signals == EndpointSignals {} || now - statedAt > statementLifetime)
            return false;
    } else if (statedAt <= it->second.statedAt) {
        return false;
    }
    return update(entryOf(endpoint), report.signals, statedAt, report.endpoint);
}

std::vector<SignalReport> EndpointSignalTable::reports(TimePoint now) const
{
    std::vector<SignalReport> out;
    out.reserve(m_entries.size());
    for (const auto& [endpoint, entry] : m_entries) {
        if (!entry.signals.maxRequestsPerSecond && now - entry.statedAt > reportLifetime)
            continue;
        out.push_back({ .endpoint = endpoint,
            .startedAtMilliseconds = entry.startedAtMilliseconds,
            .signals = entry.signals,
            .ageMicroseconds = (now - entry.statedAt).count() });
    }
    return out;
}

void EndpointSignalTable::dropOld(TimePoint now)
{
    std::erase_if(m_entries, [&](const auto& it) {
        const auto& entry = it.second;
        return now >= entry.pausedUntil
            && now - entry.statedAt
            > (entry.signals == EndpointSignals {} ? reportLifetime : statementLifetime);
    });
}

EndpointSignals EndpointSignalTable::signalsOf(uint64_t endpoint) const
{
    const auto it = m_entries.find(endpoint);
    return it == m_entries.end() ? EndpointSignals {} : it->second.signals;
}

bool EndpointSignalTable::maySend(uint64_t endpoint, TimePoint lastSendAt, TimePoint now) const
{
    const auto it = m_entries.find(endpoint);
    if (it == m_entries.end())
        return true;
    const auto& entry = it->second;
    if (entry.signals.isLeaving || now < entry.pausedUntil)
        return false;
    if (!entry.signals.maxRequestsPerSecond)
        return true;
    const auto unconfirmed = std::max(Duration::zero(), now - entry.statedAt);
    if (entry.rank >= entry.senders + static_cast<size_t>(unconfirmed / maxInterval))
        return false;
    return now - lastSendAt >= (entry.rank < entry.senders ? entry.interval : maxInterval);
}

} // namespace lentilbay::edge
