// Shares of request rates that endpoints state, and the life of a statement.
#include "lentilbay/Edge/EndpointSignalTable.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

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
/// An endpoint that fails this soon after it rejected requests may have failed because of them.
constexpr Duration rejectionLifetime = std::chrono::seconds(2);

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
    const auto rate = entry.rate.value;
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

bool EndpointSignalTable::StatedLimit::apply(
    std::optional<double> stated, TimePoint requestSentAt, TimePoint receivedAt)
{
    const bool isRaised = isHigher(stated, value);
    const bool isLowered = isHigher(value, stated);
    if ((isRaised && requestSentAt <= statedAt) || (isLowered && receivedAt <= sentAt))
        return false;
    sentAt = isRaised || isLowered ? requestSentAt : std::max(sentAt, requestSentAt);
    statedAt = std::max(statedAt, receivedAt);
    unstatedAnswers = 0;
    value = stated;
    return isRaised || isLowered;
}

bool EndpointSignalTable::StatedLimit::applyAnswer(
    std::optional<double> stated, const SignalAnswer& answer, TimePoint now)
{
    if (stated)
        return apply(stated, answer.sentAt, now);
    if (!value || !answer.isConclusive || answer.sentAt <= statedAt)
        return false;
    if (++unstatedAnswers < answersToWithdraw && now - statedAt < unstatedTime)
        return false;
    return apply(stated, answer.sentAt, now);
}

bool EndpointSignalTable::recordAnswer(const SignalAnswer& answer, TimePoint now)
{
    const auto endpoint = answer.endpoint.endpoint;
    const bool statesNothing = answer.signals == EndpointSignals {};
    if (statesNothing && !m_entries.contains(endpoint))
        return false;
    auto& entry = statesNothing ? m_entries.find(endpoint)->second : entryOf(answer.endpoint);
    if (!statesNothing)
        entry.statedAt = now;
    bool changes = answer.signals.isLeaving && !std::exchange(entry.isLeaving, true);
    changes |= entry.rate.applyAnswer(answer.signals.maxRequestsPerSecond, answer, now);
    changes |= entry.rejections.applyAnswer(answer.signals.maxRejectionsPerSecond, answer, now);
    if (answer.isRejection && entry.rejections.value)
        entry.rejectedAt = now;
    if (changes) {
        entry.statedAt = now;
        divide(endpoint, entry, now);
    }
    return changes;
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
    const auto isValid = [](std::optional<double> it) { return !it || (std::isfinite(*it) && *it >= 0); };
    if (!isValid(report.signals.maxRequestsPerSecond) || !isValid(report.signals.maxRejectionsPerSecond))
        return false;
    const auto timeOf = [&](int64_t age) { return age < 0 ? TimePoint {} : at - Duration(age); };
    const auto statedAt
        = std::max(timeOf(report.ageMicroseconds), timeOf(report.rejectionLimitAgeMicroseconds));
    if (!m_entries.contains(report.endpoint)
        && (report.signals == EndpointSignals {} || now - statedAt > statementLifetime))
        return false;
    auto& entry = entryOf(endpoint);
    entry.statedAt = std::max(entry.statedAt, statedAt);
    entry.rejectedAt = std::max(entry.rejectedAt, timeOf(report.rejectedAgeMicroseconds));
    bool changes = report.signals.isLeaving && !std::exchange(entry.isLeaving, true);
    if (report.ageMicroseconds >= 0)
        changes |= entry.rate.apply(report.signals.maxRequestsPerSecond, timeOf(report.sentAgeMicroseconds),
            timeOf(report.ageMicroseconds));
    if (report.rejectionLimitAgeMicroseconds >= 0)
        changes |= entry.rejections.apply(report.signals.maxRejectionsPerSecond,
            timeOf(report.rejectionLimitSentAgeMicroseconds), timeOf(report.rejectionLimitAgeMicroseconds));
    if (changes)
        divide(report.endpoint, entry, now);
    return changes;
}

std::vector<SignalReport> EndpointSignalTable::reports(TimePoint now) const
{
    std::vector<SignalReport> out;
    out.reserve(m_entries.size());
    const auto ageOf = [&](TimePoint it) { return it == TimePoint {} ? -1 : (now - it).count(); };
    for (const auto& [endpoint, entry] : m_entries) {
        const bool hasLimit = entry.rate.value || entry.rejections.value;
        if (!hasLimit && now - entry.statedAt > reportLifetime)
            continue;
        out.push_back({ .endpoint = endpoint,
            .startedAtMilliseconds = entry.startedAtMilliseconds,
            .signals = entry.signals(),
            .ageMicroseconds
            = ageOf(entry.rate.statedAt == TimePoint {} && entry.isLeaving ? entry.statedAt
                                                                           : entry.rate.statedAt),
            .sentAgeMicroseconds = ageOf(
                entry.rate.sentAt == TimePoint {} && entry.isLeaving ? entry.statedAt : entry.rate.sentAt),
            .rejectionLimitAgeMicroseconds = ageOf(entry.rejections.statedAt),
            .rejectionLimitSentAgeMicroseconds = ageOf(entry.rejections.sentAt),
            .rejectedAgeMicroseconds
            = now - entry.rejectedAt <= rejectionLifetime ? ageOf(entry.rejectedAt) : -1 });
    }
    return out;
}

void EndpointSignalTable::dropOld(TimePoint now)
{
    std::erase_if(m_entries, [&](const auto& it) {
        const auto& entry = it.second;
        return now >= entry.pausedUntil
            && now - entry.statedAt
            > (entry.signals() == EndpointSignals {} ? reportLifetime : statementLifetime);
    });
}

EndpointSignals EndpointSignalTable::signalsOf(uint64_t endpoint) const
{
    const auto it = m_entries.find(endpoint);
    return it == m_entries.end() ? EndpointSignals {} : it->second.signals();
}

bool EndpointSignalTable::isOverloaded(uint64_t endpoint, TimePoint now) const
{
    const auto it = m_entries.find(endpoint);
    return it != m_entries.end() && it->second.rejectedAt != TimePoint {}
    && now - it->second.rejectedAt <= rejectionLifetime;
}

uint32_t EndpointSignalTable::slotShare(uint64_t endpoint, uint32_t slots) const
{
    const auto self = std::ranges::find(m_daemons, m_self, &SendingDaemon::name);
    if (self == m_daemons.end())
        return slots;
    const auto keyOf
        = [&](const SendingDaemon& it) { return std::make_tuple(hashOf(it.name, endpoint), it.name); };
    const auto rank = std::ranges::count_if(
        m_daemons, [&, own = keyOf(*self)](const auto& it) { return keyOf(it) < own; });
    const auto n = static_cast<uint32_t>(m_daemons.size());
    return slots / n + (static_cast<uint32_t>(rank) < slots % n ? 1 : 0);
}

bool EndpointSignalTable::maySend(uint64_t endpoint, TimePoint lastSendAt, TimePoint now) const
{
    const auto it = m_entries.find(endpoint);
    if (it == m_entries.end())
        return true;
    const auto& entry = it->second;
    if (entry.isLeaving || now < entry.pausedUntil)
        return false;
    if (!entry.rate.value)
        return true;
    const auto lastSend = std::max(lastSendAt, entry.lastSendAt);
    if (entry.rank < entry.senders)
        return now - std::max(lastSend, entry.selectedAt) >= entry.interval;
    const auto others = m_daemons.size() - std::min(m_daemons.size(), entry.senders);
    const auto turn = std::max(Duration::zero(), now - entry.rate.statedAt) / maxInterval;
    if (others == 0 || turn == 0)
        return false;
    return entry.rank - entry.senders == static_cast<size_t>(turn - 1) % others
        && now - lastSend >= maxInterval;
}

} // namespace lentilbay::edge
