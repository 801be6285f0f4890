// A model of daemons that share one organisation's quota, in virtual time: their heartbeats are routed and
// summed up as EdgeDaemon does it, so that restarted daemons and new aggregators know of use as late as they
// do there.
#pragma once

#include "lentilbay/Edge/PeerSummaries.h"
#include "lentilbay/Policy/QuotaCheckpoint.h"
#include "lentilbay/Policy/SharedQuota.h"
#include "lentilbay/Policy/WindowSum.h"
#include "lentilbay/Support/Random.h"

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lentilbay::edge {

struct QuotaFleetOptions {
    size_t daemons = 85;
    size_t dataCentres = 5;
    QuotaPromise promise;
    double requestTokens = 4000;
    uint64_t seed = 1;
};

class QuotaFleet {
public:
    static constexpr Duration step = std::chrono::milliseconds(50);
    static constexpr Duration tick = std::chrono::milliseconds(200);

    explicit QuotaFleet(const QuotaFleetOptions& options)
        : m_options(options)
        , m_limits(limitsFor(options.promise))
        , m_random(options.seed)
        , m_daemons(options.daemons)
        , m_shares(options.daemons, 1)
        , m_rows(options.dataCentres)
    {
        for (size_t i = 0; i < options.daemons; ++i)
            start(i);
    }

    TimePoint now() const { return m_now; }
    Random& random() { return m_random; }
    const QuotaLimits& limits() const { return m_limits; }
    bool isRunning(size_t i) const { return m_daemons[i] != nullptr; }
    bool isAggregator(size_t i) const { return m_daemons[i] && m_daemons[i]->summaries.isAggregator(); }
    /// How many of the requests a daemon gets, relative to the other ones that run.
    void setShare(size_t i, double share) { m_shares[i] = share; }
    void kill(size_t i) { m_daemons[i].reset(); }
    /// Starts a daemon, or starts it again. It knows the names of all others.
    void start(size_t i)
    {
        Topology topology { .ownDataCentre = DataCentreId(dataCentreOf(i)) };
        for (size_t k = 0; k < m_options.dataCentres; ++k)
            topology.regions[DataCentreId(dataCentreOf(k))] = RegionId("region-" + std::to_string(k / 2));
        const bool isFirstStart = m_now == TimePoint {};
        const PeerSummariesOptions summaries { .daemon = nameOf(i),
            .topology = topology,
            .capacity = i < m_options.dataCentres * 3 ? 500U : 120U,
            .isFirstStart = isFirstStart,
            .startedAt = m_now };
        m_daemons[i] = std::make_unique<Daemon>(summaries, m_limits, m_options.daemons);
        auto& daemon = *m_daemons[i];
        daemon.incarnation = ++m_incarnations;
        daemon.startedAt = m_now;
        daemon.isFirstStart = daemon.countsAllUse = daemon.hasReadStore = isFirstStart;
        daemon.nextTickAt = m_now + step * static_cast<int64_t>(m_random.below(tick / step));
        for (size_t k = 0; k < m_options.daemons; ++k)
            daemon.peers.addListed(nameOf(k), nameOf(k), 1, m_now);
    }

    /// Runs one step with a demand of `demand` times the promised rate.
    void run(double demand)
    {
        m_now += step;
        while (!m_datagrams.empty() && m_datagrams.front().at <= m_now) {
            const auto it = std::move(m_datagrams.front());
            m_datagrams.pop();
            // A process that was killed does not get what was sent to its predecessor.
            if (m_daemons[it.to] && m_daemons[it.to]->startedAt < it.at - networkDelay)
                receive(*m_daemons[it.to], *it.heartbeat, it.from);
        }
        double running = 0;
        for (size_t i = 0; i < m_daemons.size(); ++i) {
            if (!m_daemons[i])
                continue;
            running += m_shares[i];
            readStore(*m_daemons[i]);
            if (m_daemons[i]->nextTickAt <= m_now) {
                m_daemons[i]->nextTickAt += tick;
                send(i);
            }
        }
        for (size_t i = 0; i < m_daemons.size(); ++i) {
            if (m_daemons[i])
                serve(*m_daemons[i], demand * m_shares[i] / running);
        }
        m_worstWindow = std::max(m_worstWindow, m_inWindow.within(m_options.promise.window, m_now));
    }

    /// Starts to count what is admitted and refused.
    void startCounting() { m_admitted = m_refused = 0; }
    double admitted() const { return m_admitted; }
    double refused() const { return m_refused; }
    /// The worst window, relative to what none may exceed.
    double worstWindow() const { return m_worstWindow / m_options.promise.maxWindowTokens(); }
    double admittedInWindow() { return m_inWindow.within(m_options.promise.window, m_now); }
    /// The least and the greatest use that running daemons count in the window.
    /// @param isRestarted whether to look at those that were restarted or at the others
    std::pair<double, double> countedInWindow(bool isRestarted)
    {
        std::pair<double, double> out { std::numeric_limits<double>::infinity(), 0 };
        for (const auto& it : m_daemons) {
            if (!it || it->isFirstStart == isRestarted)
                continue;
            const double counted = it->quota.admittedInWindow(m_now);
            out = { std::min(out.first, counted), std::max(out.second, counted) };
        }
        return out;
    }

private:
    static constexpr Duration networkDelay = std::chrono::milliseconds(50);
    /// The daemons and the checkpoints are read by then.
    static constexpr Duration readTime = std::chrono::milliseconds(100);
    static constexpr uint64_t organisation = 7;

    struct Daemon {
        Daemon(const PeerSummariesOptions& options, const QuotaLimits& limits, size_t known)
            : name(options.daemon)
            , dataCentre(options.topology.ownDataCentre.text())
            , peers(options.daemon)
            , summaries(options)
            , quota(limits, options.isFirstStart,
                  { .known = known, .silent = options.isFirstStart ? 0 : known - 1 }, options.startedAt)
        {
        }

        std::string name;
        std::string dataCentre;
        PeerTable peers;
        PeerSummaries summaries;
        SharedQuota quota;
        uint64_t incarnation = 0;
        uint64_t sequence = 0;
        TimePoint startedAt {};
        TimePoint nextTickAt {};
        bool isFirstStart = false;
        bool countsAllUse = false;
        bool isRestored = false;
        bool hasReadStore = false;
        double demanded = 0;
        std::map<std::string, TimePoint> nextAt;
        /// Peers whose use was part of a sum.
        std::set<std::string> summarised;
    };

    struct Datagram {
        TimePoint at;
        size_t from = 0;
        size_t to = 0;
        std::shared_ptr<const PeerHeartbeat> heartbeat;
    };

    static std::string nameOf(size_t i) { return "edge-" + std::to_string(i); }
    std::string dataCentreOf(size_t i) const { return "dc-" + std::to_string(i % m_options.dataCentres); }

    QuotaParticipants participantsOf(const Daemon& daemon) const
    {
        auto out = daemon.peers.quotaParticipants(m_now);
        // All daemons of a first start know each other.
        if (daemon.isFirstStart && m_now - TimePoint() < std::chrono::seconds(4)) {
            out.silent = 0;
            out.silentSince.clear();
        }
        return out;
    }

    void serve(Daemon& daemon, double demand)
    {
        if (!daemon.hasReadStore)
            return;
        const auto participants = participantsOf(daemon);
        daemon.demanded += demand * m_options.promise.tokensPerSecond * toSeconds(step);
        for (; daemon.demanded >= m_options.requestTokens; daemon.demanded -= m_options.requestTokens) {
            if (!daemon.quota.admit(m_options.requestTokens, m_limits, participants, m_now)) {
                m_refused += m_options.requestTokens;
                continue;
            }
            m_admitted += m_options.requestTokens;
            m_inWindow.add(m_options.requestTokens, m_now);
        }
    }

    void readStore(Daemon& daemon)
    {
        if (daemon.hasReadStore || m_now - daemon.startedAt < readTime)
            return;
        daemon.hasReadStore = true;
        if (daemon.countsAllUse)
            return;
        std::vector<QuotaCheckpoint> rows;
        for (const auto& it : m_rows) {
            if (it)
                rows.push_back(*it);
        }
        const auto checkpoint = combineCheckpoints(rows, m_now - TimePoint(), m_options.promise.window);
        if (!checkpoint || !isRestorable(daemon.startedAt - TimePoint(checkpoint->takenAt)))
            return;
        const auto it = checkpoint->uses.find(organisation);
        daemon.isRestored = true;
        if (it != checkpoint->uses.end() && isRestorable(it->second, m_limits))
            daemon.quota.restore(
                it->second.level, it->second.parts, TimePoint(checkpoint->takenAt), daemon.startedAt, m_now);
    }

    void writeCheckpoint(size_t i, Daemon& daemon)
    {
        const bool mayWrite = daemon.countsAllUse
            || (daemon.isRestored && m_now - daemon.startedAt >= writeDelayAfterRestore);
        if (!daemon.summaries.isFirstAggregator() || !mayWrite)
            return;
        const QuotaUse use { .level = daemon.quota.fleetLevel(m_now),
            .parts = daemon.quota.windowParts(m_now) };
        const auto period = checkpointPeriod(use.inWindow() / m_limits.windowTokens);
        auto& row = m_rows[i % m_options.dataCentres];
        const auto time = m_now - TimePoint();
        if (period && (!row || time - row->takenAt >= *period))
            row = { .takenAt = time, .incarnation = daemon.incarnation, .uses = { { organisation, use } } };
    }

    void send(size_t i)
    {
        auto& daemon = *m_daemons[i];
        daemon.peers.detectSilent(m_now);
        daemon.quota.refresh(participantsOf(daemon), m_now);
        daemon.summaries.update(daemon.peers, false, m_now);
        for (const auto& [hash, tokens] : daemon.summaries.takeEstimatedUse())
            daemon.quota.applyUse(tokens, m_now);
        daemon.countsAllUse = daemon.countsAllUse || m_now - daemon.startedAt > m_options.promise.window;
        PeerHeartbeat own { .daemon = daemon.name,
            .incarnation = daemon.incarnation,
            .sequence = ++daemon.sequence,
            .dataCentre = daemon.dataCentre,
            .quotas = { { .organisation = organisation, .admittedTotal = daemon.quota.admittedTotal() } },
            .countsAllUse = daemon.countsAllUse,
            .capacity = daemon.summaries.capacity() };
        writeCheckpoint(i, daemon);
        daemon.summaries.recordOwn(own, m_now);
        for (const auto& [name, peer] : daemon.peers.peers()) {
            const auto route = daemon.summaries.routeTo(name, peer);
            auto& next = daemon.nextAt[name];
            if (!route || m_now < next)
                continue;
            next = m_now + route->period - tick / 2;
            const auto to = std::stoul(name.substr(std::string("edge-").size()));
            if (!m_daemons[to])
                continue;
            auto heartbeat = std::make_shared<PeerHeartbeat>(own);
            heartbeat->periodMilliseconds
                = static_cast<uint32_t>(route->period / std::chrono::milliseconds(1));
            heartbeat->sentMicroseconds = m_now.time_since_epoch().count();
            heartbeat->echoedMicroseconds = peer.sentMicroseconds;
            heartbeat->echoedIncarnation = peer.incarnation;
            if (daemon.countsAllUse && !peer.countsAllUse)
                heartbeat->levels.push_back(levelOf(daemon));
            if (route->content != PeerSummaries::Content::Own) {
                heartbeat->summary = route->content == PeerSummaries::Content::Fleet
                    ? daemon.summaries.fleetSummary(m_now)
                    : daemon.summaries.dataCentreSummary(m_now);
                heartbeat->hasSummary = true;
                heartbeat->members = daemon.summaries.members(daemon.peers, route->content, daemon.sequence);
                heartbeat->includedSequence = daemon.summaries.includedSequence(name, m_now);
                if (heartbeat->levels.empty())
                    heartbeat->quotas.clear();
            }
            m_datagrams.push(
                { .at = m_now + networkDelay, .from = i, .to = to, .heartbeat = std::move(heartbeat) });
        }
    }

    PeerHeartbeat::QuotaLevel levelOf(Daemon& daemon) const
    {
        PeerHeartbeat::QuotaLevel out { .level = static_cast<float>(daemon.quota.fleetLevel(m_now)),
            .inWindow = static_cast<float>(daemon.quota.admittedInWindow(m_now)) };
        std::ranges::transform(daemon.quota.windowParts(m_now), out.inParts.begin(),
            [](double tokens) { return static_cast<float>(tokens); });
        return out;
    }

    void receive(Daemon& daemon, const PeerHeartbeat& heartbeat, size_t from)
    {
        const auto known = daemon.peers.peers().find(heartbeat.daemon);
        const bool wasKnown
            = known != daemon.peers.peers().end() && known->second.incarnation == heartbeat.incarnation;
        if (!daemon.peers.recordHeartbeat(heartbeat, nameOf(from), 1, m_now))
            return;
        if (heartbeat.echoedIncarnation == daemon.incarnation)
            daemon.peers.recordEcho(heartbeat.daemon, TimePoint(Duration(heartbeat.echoedMicroseconds)));
        const bool isSummarised = daemon.summaries.isSummarised(heartbeat, m_now);
        if (heartbeat.hasSummary)
            applySummary(daemon, heartbeat);
        else
            daemon.summaries.recordPeer(heartbeat, wasKnown, m_now);
        applyQuotas(daemon, heartbeat, !heartbeat.hasSummary && !isSummarised);
    }

    void applySummary(Daemon& daemon, const PeerHeartbeat& heartbeat)
    {
        for (const auto& [dataCentre, period, daemons] : heartbeat.members) {
            for (const auto& it : daemons) {
                if (daemon.peers.recordMember(it, dataCentre, std::chrono::milliseconds(period), m_now)
                    && daemon.summaries.isSummarised(
                        { .dataCentre = dataCentre, .revision = it.revision }, m_now))
                    daemon.summarised.insert(it.daemon);
            }
        }
        const auto update = daemon.summaries.applySummary(heartbeat, m_now);
        if (!update)
            return;
        if (update->isFirst) {
            for (const auto& [name, peer] : daemon.peers.peers()) {
                if (daemon.summaries.isSummarised(
                        { .dataCentre = peer.dataCentre, .revision = peer.revision }, m_now))
                    daemon.summarised.insert(name);
            }
        }
        for (const auto& [hash, tokens] : update->use)
            daemon.quota.applyUse(tokens, m_now);
    }

    void applyQuotas(Daemon& daemon, const PeerHeartbeat& heartbeat, bool isCounted)
    {
        const bool isNew = isCounted && daemon.summarised.erase(heartbeat.daemon) == 0;
        if (!daemon.countsAllUse && heartbeat.statesUseTo(daemon.incarnation)) {
            SharedQuota::WindowParts parts {};
            if (!heartbeat.levels.empty())
                std::ranges::copy(heartbeat.levels.front().inParts, parts.begin());
            daemon.countsAllUse = daemon.quota.adopt(
                heartbeat.levels.empty() ? m_limits.burstTokens : heartbeat.levels.front().level, parts,
                m_now);
        }
        if (heartbeat.quotas.empty())
            return;
        const QuotaReport report { .incarnation = heartbeat.incarnation,
            .admittedTotal = heartbeat.quotas.front().admittedTotal,
            .countsAllUse = heartbeat.countsAllUse };
        if (isNew)
            daemon.summaries.recordUse(
                heartbeat, organisation, daemon.quota.applyReport(heartbeat.daemon, report, m_now), m_now);
        else
            daemon.quota.skipReport(heartbeat.daemon, report);
    }

    QuotaFleetOptions m_options;
    QuotaLimits m_limits;
    Random m_random;
    TimePoint m_now {};
    uint64_t m_incarnations = 0;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<double> m_shares;
    std::queue<Datagram> m_datagrams;
    /// The newest checkpoint of each data centre.
    std::vector<std::optional<QuotaCheckpoint>> m_rows;
    WindowSum m_inWindow;
    double m_worstWindow = 0;
    double m_admitted = 0;
    double m_refused = 0;
};

} // namespace lentilbay::edge
