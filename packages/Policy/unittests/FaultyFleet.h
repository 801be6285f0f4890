// A model of daemons that share one organisation's quota, in virtual time.
#pragma once

#include "lentilbay/Policy/QuotaCheckpoint.h"
#include "lentilbay/Policy/SharedQuota.h"
#include "lentilbay/Policy/WindowSum.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lentilbay {

/// Daemons that share a quota, whose contact with each other is decided by the test.
class FaultyFleet {
public:
    static constexpr Duration step = std::chrono::milliseconds(50);
    static constexpr Duration window = std::chrono::seconds(8);

    FaultyFleet(size_t size, const QuotaPromise& promise, double requestTokens)
        : m_promise(promise)
        , m_limits(limitsFor(promise))
        , m_requestTokens(requestTokens)
        , m_reportInterval(size > 16 ? std::chrono::seconds(1) : std::chrono::milliseconds(200))
        , m_reportPeriod(size > 16 ? std::chrono::milliseconds(400) : std::chrono::milliseconds(200))
        , m_daemons(size)
        , m_links(size, std::vector<Link>(size))
        , m_share(size, 1.0 / static_cast<double>(size))
    {
        for (size_t i = 0; i < size; ++i)
            m_daemons[i].quota.emplace(m_limits, true, participantsOf(i, TimePoint()), TimePoint());
    }

    /// The fraction of all requests that a daemon receives while it runs.
    void setShare(size_t i, double share) { m_share[i] = share; }
    /// Whether `to` receives what `from` sends.
    void connect(size_t from, size_t to, bool isConnected) { m_links[to][from].isConnected = isConnected; }
    void kill(size_t i) { m_daemons[i].quota.reset(); }
    void killAll()
    {
        for (size_t i = 0; i < m_daemons.size(); ++i)
            kill(i);
    }
    void restartAll(TimePoint now)
    {
        for (size_t i = 0; i < m_daemons.size(); ++i)
            restart(i, now);
    }

    /// The age of what a report states when it arrives; in a large fleet it passes two aggregators.
    void setReportDelay(Duration delay) { m_reportDelay = delay; }
    /// Daemons write checkpoints, one in each of `dataCentres`, and those that start read them.
    void useCheckpoints(size_t dataCentres) { m_rows.resize(dataCentres); }
    /// Whether calls of the store fail.
    void setStoreAway(bool isAway) { m_isStoreAway = isAway; }
    /// Takes the store back to a copy that is that much older than its newest row.
    void dropNewestRows(Duration age)
    {
        for (auto& rows : m_rows) {
            if (!rows.empty())
                std::erase_if(
                    rows, [limit = rows.back().takenAt - age](const auto& it) { return it.takenAt > limit; });
        }
    }
    /// The daemon that writes the checkpoints of a data centre.
    std::optional<size_t> writerOf(size_t dataCentre, TimePoint now) const
    {
        for (size_t i = dataCentre; i < m_daemons.size(); i += m_rows.size()) {
            const auto& daemon = m_daemons[i];
            if (daemon.quota && daemon.hasHistory
                && (daemon.countsAllUse || now - daemon.startedAt >= writeDelayAfterRestore))
                return i;
        }
        return std::nullopt;
    }
    size_t checkpointsWritten() const { return m_checkpointsWritten; }
    /// Whether another daemon runs that accounts for all use.
    bool hasOtherWitness(size_t i) const
    {
        for (size_t k = 0; k < m_daemons.size(); ++k) {
            if (k != i && m_daemons[k].quota && m_daemons[k].countsAllUse)
                return true;
        }
        return false;
    }
    bool isRunning(size_t i) const { return m_daemons[i].quota.has_value(); }

    void restart(size_t i, TimePoint now)
    {
        auto& daemon = m_daemons[i];
        ++daemon.incarnation;
        daemon.countsAllUse = daemon.hasHistory = false;
        daemon.hasReadStore = m_rows.empty();
        daemon.startedAt = now;
        daemon.totals.clear();
        for (auto& it : m_links[i])
            it = { .isConnected = it.isConnected };
        daemon.quota.emplace(m_limits, false, participantsOf(i, now), now);
    }

    /// Runs one step with a demand of `demand` times the promised rate.
    void run(double demand, TimePoint now)
    {
        for (size_t to = 0; to < m_daemons.size(); ++to) {
            for (size_t from = 0; from < m_daemons.size(); ++from) {
                const auto phase = step * static_cast<int64_t>((to * 7 + from * 3) % (m_reportPeriod / step));
                if (to != from && (now - TimePoint()) % m_reportPeriod == phase)
                    report(from, to, now);
            }
        }
        for (size_t i = 0; i < m_daemons.size(); ++i) {
            auto& daemon = m_daemons[i];
            if (!daemon.quota)
                continue;
            const auto participants = participantsOf(i, now);
            daemon.countsAllUse = daemon.countsAllUse || now - daemon.startedAt > window;
            daemon.hasHistory = daemon.hasHistory || daemon.countsAllUse;
            daemon.quota->refresh(participants, now);
            readCheckpoints(daemon, now);
            daemon.demanded += demand * m_promise.tokensPerSecond * toSeconds(step) * m_share[i];
            for (; daemon.demanded >= m_requestTokens; daemon.demanded -= m_requestTokens) {
                const bool isCounted = daemon.incarnation == 1;
                m_demanded += isCounted ? m_requestTokens : 0;
                if (!daemon.hasReadStore
                    || !daemon.quota->admit(m_requestTokens, m_limits, participants, now)) {
                    m_refusedByAll += m_requestTokens;
                    continue;
                }
                m_admitted += isCounted ? m_requestTokens : 0;
                m_admittedByAll += m_requestTokens;
                m_inWindow.add(m_requestTokens, now);
            }
        }
        for (auto& it : m_daemons) {
            if (it.quota)
                it.totals.push_back(it.quota->admittedTotal());
        }
        writeCheckpoints(now);
        m_worstWindow = std::max(m_worstWindow, m_inWindow.within(window, now));
    }

    /// Starts to count what is demanded and admitted at daemons that have not been restarted, and what is
    /// admitted and refused at all.
    void startCounting() { m_demanded = m_admitted = m_admittedByAll = m_refusedByAll = 0; }
    double admittedByAll() const { return m_admittedByAll; }
    double refusedByAll() const { return m_refusedByAll; }
    double admittedShare() const { return m_demanded > 0 ? m_admitted / m_demanded : 1; }
    /// The worst window, relative to what none may exceed.
    double worstWindow() const { return m_worstWindow / m_promise.maxWindowTokens(); }

private:
    struct Daemon {
        std::optional<SharedQuota> quota;
        uint64_t incarnation = 1;
        bool countsAllUse = true;
        /// Knows what was admitted before it started.
        bool hasHistory = true;
        /// Has read the other daemons and the checkpoints from the store; admits nothing before.
        bool hasReadStore = true;
        TimePoint startedAt {};
        double demanded = 0;
        /// admittedTotal() in the last steps, the newest last.
        std::vector<double> totals;
    };

    /// What a daemon knows of another one.
    struct Link {
        bool isConnected = true;
        std::optional<TimePoint> heardAt;
        uint64_t incarnation = 0;
        /// When this daemon had sent the newest report that the other one is known to have processed.
        std::optional<TimePoint> echoedAt;
    };

    double reportedTotal(const Daemon& sender) const
    {
        const auto n = static_cast<size_t>(m_reportDelay / step);
        if (n == 0)
            return sender.quota->admittedTotal();
        return sender.totals.size() < n ? 0 : sender.totals[sender.totals.size() - n];
    }

    void writeCheckpoints(TimePoint now)
    {
        for (size_t dataCentre = 0; dataCentre < m_rows.size(); ++dataCentre) {
            const auto writer = writerOf(dataCentre, now);
            if (!writer)
                continue;
            auto& quota = *m_daemons[*writer].quota;
            const QuotaUse use { .level = quota.fleetLevel(now), .parts = quota.windowParts(now) };
            const auto period = checkpointPeriod(use.inWindow() / m_limits.windowTokens);
            auto& rows = m_rows[dataCentre];
            const auto time = now - TimePoint();
            if (!period || m_isStoreAway || (!rows.empty() && time - rows.back().takenAt < *period))
                continue;
            ++m_checkpointsWritten;
            rows.push_back(
                { .takenAt = time, .incarnation = m_daemons[*writer].incarnation, .uses = { { 1, use } } });
        }
    }

    void readCheckpoints(Daemon& daemon, TimePoint now)
    {
        constexpr Duration readTime = std::chrono::milliseconds(100);
        if (daemon.hasReadStore || m_isStoreAway || now - daemon.startedAt < readTime)
            return;
        daemon.hasReadStore = true;
        if (daemon.hasHistory)
            return;
        std::vector<QuotaCheckpoint> newest;
        for (const auto& it : m_rows) {
            if (!it.empty())
                newest.push_back(it.back());
        }
        const auto checkpoint = combineCheckpoints(newest, now - TimePoint(), window);
        if (!checkpoint || !isRestorable(daemon.startedAt - TimePoint(checkpoint->takenAt)))
            return;
        const auto it = checkpoint->uses.find(1);
        if (it == checkpoint->uses.end() || !isRestorable(it->second, m_limits))
            return;
        daemon.quota->restore(
            it->second.level, it->second.parts, TimePoint(checkpoint->takenAt), daemon.startedAt, now);
        daemon.hasHistory = true;
    }

    void report(size_t from, size_t to, TimePoint now)
    {
        auto& link = m_links[to][from];
        auto& sender = m_daemons[from];
        auto& receiver = m_daemons[to];
        if (!sender.quota || !receiver.quota || !link.isConnected)
            return;
        const auto& back = m_links[from][to];
        const bool isEcho = back.heardAt && back.incarnation == receiver.incarnation;
        const bool isKnown = link.incarnation == sender.incarnation;
        link.echoedAt = isEcho ? std::max(*back.heardAt, isKnown ? link.echoedAt.value_or(now) : TimePoint())
            : isKnown ? link.echoedAt
                               : std::optional(now);
        link.heardAt = now;
        link.incarnation = sender.incarnation;
        if (sender.countsAllUse && !receiver.countsAllUse) {
            receiver.quota->adopt(sender.quota->fleetLevel(now), sender.quota->windowParts(now), now);
            receiver.countsAllUse = receiver.hasHistory = true;
        }
        receiver.quota->applyReport(std::to_string(from),
            { .incarnation = sender.incarnation,
                .admittedTotal = reportedTotal(sender),
                .countsAllUse = sender.countsAllUse },
            now);
    }

    QuotaParticipants participantsOf(size_t i, TimePoint now) const
    {
        QuotaParticipants out { .known = m_daemons.size(), .reportInterval = m_reportInterval };
        for (size_t peer = 0; peer < m_daemons.size(); ++peer) {
            const auto& link = m_links[i][peer];
            // All daemons of a first start know each other.
            const bool isFirst = m_daemons[i].incarnation == 1 && link.incarnation == 0;
            const auto heardAt = isFirst ? std::optional(TimePoint()) : link.heardAt;
            const auto since = heardAt ? std::optional(std::min(*heardAt, link.echoedAt.value_or(*heardAt)))
                                       : std::nullopt;
            if (peer == i || (since && now - *since <= m_reportInterval * 9 / 2))
                continue;
            ++out.silent;
            if (since)
                out.silentSince.push_back(*since);
        }
        return out;
    }

    QuotaPromise m_promise;
    QuotaLimits m_limits;
    double m_requestTokens;
    /// By which silence is judged; reports through aggregators come more often.
    Duration m_reportInterval;
    Duration m_reportPeriod;
    Duration m_reportDelay {};
    std::vector<Daemon> m_daemons;
    /// By receiver and sender.
    std::vector<std::vector<Link>> m_links;
    std::vector<double> m_share;
    WindowSum m_inWindow;
    double m_worstWindow = 0;
    double m_demanded = 0;
    double m_admitted = 0;
    double m_admittedByAll = 0;
    double m_refusedByAll = 0;
    /// What the store has held, by data centre.
    std::vector<std::vector<QuotaCheckpoint>> m_rows;
    bool m_isStoreAway = false;
    size_t m_checkpointsWritten = 0;
};

} // namespace lentilbay
