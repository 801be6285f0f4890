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

/// Upper bound of the time between two sends, and the time without an answer after which another daemon that
/// is not selected may send: only an answer can show that an endpoint has withdrawn its limit.
constexpr Duration maxInterval = std::chrono::seconds(5);
/// Lower bound of the rate from which an interval is computed; gives the longest interval.
constexpr double minRate = 0.01;
/// So many answers that do not repeat a statement end it; one is enough if none has repeated it for this
/// long.
constexpr int answersToWithdraw = 2;
constexpr Duration unstatedTime = std::chrono::seconds(3);
/// How long peers are told of a withdrawal or a departure; they receive several heartbeats in this time.
constexpr Duration reportLifetime = std::chrono::seconds(5);
/// A statement that no answer has confirmed for this long belongs to an endpoint that is gone.
constexpr Duration statementLifetime = std::chrono::minutes(10);

/// Whether `a` allows more than `b`.
bool isHigher(const std::optional<double>& a, const std::optional<double>& b) { return b && (!a || *a > *b); }

} // namespace

void EndpointSignalTable::setDaemons(
    const std::string& self, std::vector<SendingDaemon> daemons, TimePoint now)
{
    if (m_self == self && m_daemons == daemons)
        return;
    m_self = self;
    m_daemons = std::move(daemons);
    for (auto& [endpoint, entry] : m_entries)
        divide(endpoint, entry, now);
}

void EndpointSignalTable::divide(uint64_t endpoint, Entry& entry, TimePoint now) const
{
    const bool wasSelected = entry.interval > Duration::zero() && entry.rank < entry.senders;
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
    if (!wasSelected && entry.rank < entry.senders)
        entry.selectedAt = now;
}

bool EndpointSignalTable::apply(Entry& entry, const Statement& statement, uint64_t endpoint, TimePoint now)
{
    auto signals = statement.signals;
    signals.isLeaving = signals.isLeaving || entry.signals.isLeaving;
    const auto rate = entry.signals.maxRequestsPerSecond;
    const bool isRaised = isHigher(signals.maxRequestsPerSecond, rate);
    const bool isLowered = isHigher(rate, signals.maxRequestsPerSecond);
    if ((isRaised && statement.sentAt <= entry.statedAt)
        || (isLowered && statement.statedAt <= entry.sentAt)) {
        signals.maxRequestsPerSecond = rate;
    } else {
        entry.sentAt = isRaised || isLowered ? statement.sentAt : std::max(entry.sentAt, statement.sentAt);
        entry.statedAt = std::max(entry.statedAt, statement.statedAt);
        entry.unstatedAnswers = 0;
    }
    if (entry.signals == signals)
        return false;
    entry.signals = signals;
    divide(endpoint, entry, now);
    return true;
}

bool EndpointSignalTable::recordAnswer(const SignalAnswer& answer, TimePoint now)
{
    const auto endpoint = answer.endpoint.endpoint;
    const Statement statement { .signals = answer.signals, .sentAt = answer.sentAt, .statedAt = now };
    if (answer.signals != EndpointSignals {})
        return apply(entryOf(answer.endpoint), statement, endpoint, now);
    const auto it = m_entries.find(endpoint);
    if (it == m_entries.end() || !answer.isConclusive || answer.sentAt <= it->second.statedAt)
        return false;
    auto& entry = it->second;
    if (++entry.unstatedAnswers < answersToWithdraw && now - entry.statedAt < unstatedTime)
        return false;
    return apply(entry, statement, endpoint, now);
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

void EndpointSignalTable::keepLastSend(uint64_t endpoint, TimePoint lastSendAt)
{
    if (const auto it = m_entries.find(endpoint); it != m_entries.end())
        it->second.lastSendAt = std::max(it->second.lastSendAt, lastSendAt);
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
    const Statement statement { .signals = report.signals,
        .sentAt = at - Duration(report.sentAgeMicroseconds),
        .statedAt = at - Duration(report.ageMicroseconds) };
    if (!m_entries.contains(report.endpoint)
        && (report.signals == EndpointSignals {} || now - statement.statedAt > statementLifetime))
        return false;
    return apply(entryOf(endpoint), statement, report.endpoint, now);
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
            .ageMicroseconds = (now - entry.statedAt).count(),
            .sentAgeMicroseconds = (now - entry.sentAt).count() });
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
    const auto lastSend = std::max(lastSendAt, entry.lastSendAt);
    if (entry.rank < entry.senders)
        return now - std::max(lastSend, entry.selectedAt) >= entry.interval;
    const auto others = m_daemons.size() - std::min(m_daemons.size(), entry.senders);
    const auto turn = std::max(Duration::zero(), now - entry.statedAt) / maxInterval;
    if (others == 0 || turn == 0)
        return false;
    return entry.rank - entry.senders == static_cast<size_t>(turn - 1) % others
        && now - lastSend >= maxInterval;
}

} // namespace lentilbay::edge
