// Estimates an endpoint's performance from past sends, and suspends it after failures.
#include "lentilbay/Edge/EndpointState.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>

namespace lentilbay::edge {
namespace {

/// Prior estimate for engines: about 5 ms per answer token.
constexpr double priorSecondsPerToken = 0.0045;
/// Prior estimate for engines: the number of prompt tokens processed in the time of one answer token.
constexpr double promptTokensPerAnswerToken = 370;
/// Prior estimate for engines: the startup time, as a number of answer tokens.
constexpr double startupAnswerTokens = 10;
constexpr double priorNonStreamSeconds = 0.05;
/// Weights of the newest observation.
constexpr double latencyWeight = 0.1;
constexpr double firstEventWeight = 0.1;
constexpr double failureWeight = 0.15;
/// An endpoint is suspended if more than this fraction of its sends fail, after a minimum number of sends.
constexpr double maxFailureRate = 0.3;
constexpr uint64_t minFailureObservations = 5;
/// The suspension doubles from the duration of a few answers to that of a restart.
constexpr Duration minSuspension = std::chrono::milliseconds(400);
constexpr Duration maxSuspension = std::chrono::seconds(4);
/// The suspension of an endpoint at whose address another one answers doubles too, to longer times: such an
/// entry is not expected to become right unless it is written again.
constexpr Duration minMisdirectedSuspension = std::chrono::seconds(1);
constexpr Duration maxMisdirectedSuspension = std::chrono::seconds(60);
/// Suspension of an endpoint that reported that it is at capacity. It has room again once one or two requests
/// have ended.
constexpr Duration fullSuspension = std::chrono::milliseconds(60);
/// An endpoint with work in flight is avoided if it makes no progress for this long and for a multiple of the
/// expected time.
constexpr Duration stallTimeout = std::chrono::milliseconds(500);
constexpr int stallFactor = 3;
/// Lower bound of the ratio of observed to modelled time to the first event.
constexpr double minFirstEventRatio = 0.5;

/// The duration doubled that many times, up to the longest one.
constexpr Duration doubled(Duration duration, int times, Duration longest)
{
    return std::min<Duration>(duration * (int64_t { 1 } << std::min(times, 10)), longest);
}

} // namespace

EndpointState::EndpointState(RoutedEndpoint entry)
    : m_entry(std::move(entry))
    , m_hash(hashOf(m_entry.id.text()))
    , m_versionHash(hashOf(m_entry.softwareVersion))
    , m_secondsPerToken(priorSecondsPerToken, latencyWeight)
    , m_firstEventRatio(1, firstEventWeight)
    , m_nonStreamSeconds(priorNonStreamSeconds, latencyWeight)
    , m_failureRate(0, failureWeight)
{
}

void EndpointState::updateEntry(RoutedEndpoint entry)
{
    const bool isElsewhere = entry.host != m_entry.host || entry.port != m_entry.port
        || entry.startedAtMilliseconds != m_entry.startedAtMilliseconds;
    if (isElsewhere && std::exchange(m_misdirections, 0) > 0)
        m_unusableUntil = {};
    m_entry = std::move(entry);
    m_versionHash = hashOf(m_entry.softwareVersion);
}

void EndpointState::recordSend(const Work& work, TimePoint now)
{
    if (m_ownInFlight == 0)
        m_lastProgress = now;
    m_lastSendAt = now;
    ++m_ownInFlight;
    m_pendingPromptTokens += work.tokensToProcess();
}

void EndpointState::recordFirstEvent(const Work& work, Duration elapsed, TimePoint now)
{
    m_pendingPromptTokens = std::max(0.0, m_pendingPromptTokens - work.tokensToProcess());
    m_lastProgress = now;
    if (!work.isStream) {
        m_nonStreamSeconds.observe(toSeconds(elapsed));
        return;
    }
    const double expected = (startupAnswerTokens + work.tokensToProcess() / promptTokensPerAnswerToken)
        * m_secondsPerToken.mean();
    // Limits the effect of a single stall on the average.
    constexpr double largestRatio = 20;
    m_firstEventRatio.observe(std::min(largestRatio, toSeconds(elapsed) / expected));
}

void EndpointState::recordProgress(double tokens, Duration elapsed, TimePoint now)
{
    m_lastProgress = now;
    if (tokens > 0)
        m_secondsPerToken.observe(toSeconds(elapsed) / tokens);
}

void EndpointState::recordEnd(
    const Work& work, SendOutcome outcome, bool hadFirstEvent, TimePoint now, double evidence)
{
    if (m_ownInFlight > 0)
        --m_ownInFlight;
    if (!hadFirstEvent)
        m_pendingPromptTokens = std::max(0.0, m_pendingPromptTokens - work.tokensToProcess());
    switch (outcome) {
    case SendOutcome::Succeeded:
        m_failureRate.observe(0);
        m_failureEvidence = 0;
        m_suspensions = m_misdirections = 0;
        m_succeededAt = now;
        break;
    case SendOutcome::Unreachable:
        recordFailure(now);
        m_unusableUntil = std::max(m_unusableUntil, m_suspendedUntil);
        break;
    case SendOutcome::Failed:
        recordFailure(now, evidence);
        break;
    case SendOutcome::Misdirected:
        m_failureEvidence = std::max(m_failureEvidence, evidenceToSuspend);
        m_unusableUntil
            = now + doubled(minMisdirectedSuspension, m_misdirections++, maxMisdirectedSuspension);
        break;
    case SendOutcome::Full:
        m_unusableUntil = std::max(m_unusableUntil, now + fullSuspension);
        break;
    case SendOutcome::Neutral:
        break;
    }
}

void EndpointState::recordFailure(TimePoint now, double evidence)
{
    m_failureRate.observe(evidence);
    m_failedAt = now;
    m_failureEvidence += evidence;
    const bool failsOften
        = m_failureRate.observations() >= minFailureObservations && m_failureRate.mean() > maxFailureRate;
    if (m_failureEvidence < evidenceToSuspend && !failsOften)
        return;
    m_failureEvidence = std::max(m_failureEvidence, evidenceToSuspend);
    m_suspendedUntil = now + doubled(minSuspension, m_suspensions++, maxSuspension);
}

void EndpointState::recordLost(TimePoint now)
{
    // Several requests may have been lost with it.
    if (isUnusable(now))
        return;
    m_failureEvidence = std::max(m_failureEvidence, evidenceToSuspend - 1);
    recordFailure(now);
    m_unusableUntil = std::max(m_unusableUntil, m_suspendedUntil);
}

void EndpointState::forgetFailures()
{
    m_failureRate = Estimate(0, failureWeight);
    m_failureEvidence = 0;
    m_suspensions = 0;
    m_suspendedUntil = m_unusableUntil = {};
}

double EndpointState::startupPromptTokens() { return startupAnswerTokens * promptTokensPerAnswerToken; }

void EndpointState::retractFailure(double evidence, TimePoint failedAt)
{
    const bool hasSucceededSince = m_failureEvidence == 0;
    if (hasSucceededSince)
        return;
    m_failureEvidence = std::max(0.0, m_failureEvidence - evidence);
    m_failureRate.observe(0);
    if (isOnProbation() || m_suspensions == 0 || m_suspendedUntil < failedAt)
        return;
    m_suspendedUntil = {};
    --m_suspensions;
}

bool EndpointState::isStalled(TimePoint now) const
{
    if (m_ownInFlight == 0)
        return false;
    const auto expected = expectedTimeToFirstEvent({ .isStream = m_pendingPromptTokens > 0 });
    return now - m_lastProgress > std::max<Duration>(stallTimeout, stallFactor * expected);
}

Duration EndpointState::expectedTimeToFirstEvent(const Work& work) const
{
    return expectedTimeToFirstEvent(work, m_pendingPromptTokens);
}

Duration EndpointState::expectedTimeToFirstEvent(const Work& work, double pendingTokens) const
{
    if (!work.isStream)
        return fromSeconds(m_nonStreamSeconds.mean());
    const double tokens = startupPromptTokens() + work.tokensToProcess() + pendingTokens;
    return fromSeconds(tokens * secondsPerPromptToken());
}

Duration EndpointState::expectedStreamPause(
    const Work& work, double pendingTokens, double tokensPerEvent) const
{
    if (!work.isStream)
        return {};
    return fromSeconds((work.tokensToProcess() + pendingTokens) * secondsPerPromptToken()
        + tokensPerEvent * m_secondsPerToken.mean());
}

double EndpointState::secondsPerPromptToken() const
{
    return m_secondsPerToken.mean() * std::max(minFirstEventRatio, m_firstEventRatio.mean())
        / promptTokensPerAnswerToken;
}

Duration EndpointState::expectedTotalTime(const Work& work) const
{
    return expectedTimeToFirstEvent(work) + fromSeconds(work.answerTokens * m_secondsPerToken.mean());
}

} // namespace lentilbay::edge
