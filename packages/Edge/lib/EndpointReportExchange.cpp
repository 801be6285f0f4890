// Reports of failing endpoints: from and to heartbeats, checks, and logs.
#include "lentilbay/Edge/EndpointReportExchange.h"

#include "lentilbay/Edge/EdgeState.h"
#include "lentilbay/Support/Log.h"

#include <algorithm>

namespace lentilbay::edge {
namespace {

/// Reports are dated by the arrival of the heartbeat. One that was delayed for longer would make an old
/// failure look recent.
constexpr Duration maxDelay = std::chrono::milliseconds(1500);
/// The least time between two rounds of heartbeats because of news.
constexpr Duration minRoundPeriod = std::chrono::milliseconds(100);
/// How long bad answers are reported after the last one.
constexpr Duration badAnswerLifetime = std::chrono::seconds(1);

} // namespace

bool EndpointReportExchange::areLinksDoubtful(TimePoint now) const
{
    return m_state.links.state() != LinkState::Up || m_state.links.isSuspicious(now);
}

void EndpointReportExchange::apply(const PeerHeartbeat& heartbeat, uint64_t incarnation, TimePoint now)
{
    const TimePoint echoed { Duration(heartbeat.echoedMicroseconds) };
    const bool echoesOwn = heartbeat.echoedIncarnation == incarnation && echoed <= now;
    const bool isRecent = echoesOwn && now - echoed <= maxDelay;
    auto& reports = m_state.endpointRegistry.failureReports();
    if (!reports.recordSender(
            heartbeat.daemon, heartbeat.incarnation, echoesOwn ? std::optional(echoed) : std::nullopt, now)) {
        m_state.metrics.count("endpoint_reports_of_former_daemons");
        return;
    }
    const auto scope = !heartbeat.hasSummary                         ? ReportScope::Daemon
        : heartbeat.dataCentre == m_state.settings.dataCentre.text() ? ReportScope::Fleet
                                                                     : ReportScope::DataCentre;
    reports.apply({ .name = heartbeat.daemon, .dataCentre = heartbeat.dataCentre }, scope,
        isRecent ? heartbeat.failures : std::vector<EndpointFailureReport> {}, now);
    if (heartbeat.failures.empty())
        return;
    updateDaemons();
    check(now);
}

bool EndpointReportExchange::hasNews(bool isRelay)
{
    m_hasNews = m_state.endpointRegistry.failureReports().takeNews(isRelay) || m_hasNews;
    return m_hasNews;
}

bool EndpointReportExchange::isRoundDue(bool isRelay, TimePoint now)
{
    return hasNews(isRelay) && now - m_sentAt >= minRoundPeriod;
}

void EndpointReportExchange::updateDaemons()
{
    const auto& own = m_state.settings;
    const EndpointFailureReports::Daemon self { .name = own.daemon.text(),
        .dataCentre = own.dataCentre.text() };
    std::vector<EndpointFailureReports::Daemon> daemons { self };
    for (const auto& [name, peer] : m_state.peers.peers()) {
        if (!peer.isSilent && !peer.isLeaving && !peer.isPartitioned)
            daemons.push_back({ .name = name, .dataCentre = peer.dataCentre });
    }
    m_state.endpointRegistry.failureReports().setDaemons(self, daemons);
}

void EndpointReportExchange::update(TimePoint now)
{
    auto& reports = m_state.endpointRegistry.failureReports();
    m_hasNews = false;
    m_sentAt = now;
    reports.forgetBadAnswers();
    for (const auto& [id, it] : m_state.endpointRegistry.all()) {
        if (it->isOnProbation() && !it->isUnusable(now) && now - it->failedAt() <= badAnswerLifetime
            && it->failedAt() != TimePoint {})
            reports.recordBadAnswers(it->hash(), it->entry().startedAtMilliseconds, it->failedAt());
    }
    if (reports.empty() && m_excluded.empty())
        return;
    updateDaemons();
    reports.dropOld(now);
    review(now);
    check(now);
}

void EndpointReportExchange::review(TimePoint now)
{
    const auto& reports = m_state.endpointRegistry.failureReports();
    std::set<std::string> excluded;
    for (const auto& [id, it] : m_state.endpointRegistry.all()) {
        if (m_state.endpointRegistry.useOf(*it, now) == EndpointUse::Excluded)
            excluded.insert(id.text());
        if (it->isUnusable(now)
            && reports.hasRecovered(it->hash(), it->entry().startedAtMilliseconds, it->failedAt()))
            it->endSuspension();
    }
    for (const auto& it : excluded) {
        if (!m_excluded.contains(it))
            logEvent(Event::EndpointExcluded, { { "endpoint", it } });
    }
    for (const auto& it : m_excluded) {
        if (excluded.contains(it))
            continue;
        logEvent(Event::EndpointReadmitted, { { "endpoint", it } });
        m_state.endpointRegistry.recordReadmitted(EndpointId(it), now);
    }
    m_excluded = std::move(excluded);
}

void EndpointReportExchange::check(TimePoint now)
{
    if (areLinksDoubtful(now))
        return;
    for (const auto hash : m_state.endpointRegistry.failureReports().nextProbes(now)) {
        const auto endpoint = m_state.endpointRegistry.findByHash(hash);
        if (!endpoint || endpoint->entry().isDraining)
            continue;
        m_state.metrics.count("endpoint_report_checks");
        m_state.pools.checkAlive(endpoint->entry());
    }
}

std::vector<EndpointFailureReport> EndpointReportExchange::reports(
    PeerSummaries::Content content, TimePoint now) const
{
    auto& reports = m_state.endpointRegistry.failureReports();
    if (reports.empty())
        return {};
    if (content == PeerSummaries::Content::Own)
        return areLinksDoubtful(now) ? std::vector<EndpointFailureReport> {}
                                     : reports.reports(ReportScope::Daemon, now);
    return reports.reports(
        content == PeerSummaries::Content::DataCentre ? ReportScope::DataCentre : ReportScope::Fleet, now);
}

} // namespace lentilbay::edge
