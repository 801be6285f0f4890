// A large fleet with many failing endpoints in virtual time: counts the sends that fail with and without
// reports between the daemons.
#include "lentilbay/Edge/EndpointRegistry.h"
#include "lentilbay/Edge/LinkMonitor.h"
#include "lentilbay/Support/Hash.h"

#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <gtest/gtest.h>
#include <iostream>
#include <queue>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

constexpr size_t daemonCount = 85;
constexpr size_t endpointCount = 90;
constexpr size_t dataCentreCount = 6;
constexpr size_t serviceCount = 3;
constexpr Duration duration = 17s;
constexpr Duration flapPeriod = 1800ms;
constexpr Duration heartbeatTick = 200ms;
constexpr Duration delay = 20ms;
constexpr Duration leastTimeBetweenRounds = 100ms;
constexpr int maxSendsOfARequest = 4;
constexpr uint32_t slots = 8;
/// Of loads as daemons know them.
constexpr size_t loadAgeInTicks = 3;
/// More than the endpoints can process while all of them are up: those that are gone are the only ones that
/// seem to have room.
constexpr double requestsPerSecond = 2400;
constexpr Duration meanServiceTime = 350ms;
constexpr Duration longestWait = 800ms;

std::string dataCentreOf(size_t i) { return fmt::format("dc-{}", i % dataCentreCount); }
std::string endpointName(size_t i) { return fmt::format("engine-{}", i); }

struct Result {
    size_t failedSends = 0;
    /// Those of them that were in flight when their endpoint crashed.
    size_t broken = 0;
    size_t succeeded = 0;
    size_t endedUnsent = 0;
    size_t rejected = 0;
    size_t neverStarted = 0;
    size_t checks = 0;
    size_t rounds = 0;
    size_t mostReports = 0;
    /// The longest time from when an endpoint was back until a request was sent there.
    Duration longestUnused {};
};

class Fleet {
public:
    Fleet(bool sharesReports, uint64_t seed)
        : m_sharesReports(sharesReports)
        , m_random(seed)
    {
        m_endpoints.resize(endpointCount);
        for (size_t i = 0; i < endpointCount; ++i)
            m_indexes[hashOf(endpointName(i))] = i;
        Topology topology;
        for (size_t i = 0; i < dataCentreCount; ++i)
            topology.regions[DataCentreId(dataCentreOf(i))] = RegionId(fmt::format("region-{}", i / 2));
        std::vector<uint64_t> hashes;
        for (const auto& [hash, i] : m_indexes)
            hashes.push_back(hash);
        std::vector<SlotAssignment::Daemon> assignedTo;
        for (size_t i = 0; i < daemonCount; ++i)
            assignedTo.push_back(
                { .name = fmt::format("edge-{}", i), .dataCentre = DataCentreId(dataCentreOf(i)) });
        for (size_t i = 0; i < daemonCount; ++i) {
            m_all.push_back({ .name = fmt::format("edge-{}", i), .dataCentre = dataCentreOf(i) });
            topology.ownDataCentre = DataCentreId(dataCentreOf(i));
            m_daemons.push_back(std::make_unique<Daemon>(topology, seed + i));
            auto& daemon = *m_daemons.back();
            daemon.index = i;
            for (size_t k = 0; k < endpointCount; ++k)
                daemon.registry.list({ .id = EndpointId(endpointName(k)),
                    .service = serviceOf(k),
                    .host = "10.0.0.1",
                    .port = 80,
                    .dataCentre = DataCentreId(dataCentreOf(k)),
                    .slots = slots,
                    .startedAtMilliseconds = 1 });
            daemon.registry.assignSlots(m_all[i].name, assignedTo);
            daemon.links.setEndpoints(hashes);
            daemon.links.setPeers(daemonCount - 1);
        }
        for (size_t i = 0; i < daemonCount; ++i)
            m_daemons[i]->registry.failureReports().setDaemons(m_all[i], m_all);
        planFailures();
        for (size_t i = 0; i < daemonCount; ++i) {
            at(Duration(m_random.below(heartbeatTick.count())), [this, i] { heartbeat(i); });
            scheduleArrival(i);
        }
    }

    Result run()
    {
        while (!m_events.empty() && m_events.top().at < TimePoint(start + duration)) {
            auto it = m_events.top();
            m_events.pop();
            m_now = it.at;
            it.action();
        }
        return m_result;
    }

private:
    static constexpr Duration start = 10s;

    struct Daemon {
        Daemon(const Topology& topology, uint64_t seed)
            : registry(topology, seed)
        {
        }
        EndpointRegistry registry;
        LinkMonitor links;
        size_t index = 0;
        uint64_t ticks = 0;
        TimePoint sentAt {};
        bool isHastened = false;
        /// Its requests in flight at the last ticks, the newest first.
        std::deque<std::vector<uint16_t>> loads;
    };
    struct Endpoint {
        bool isUp = true;
        std::optional<TimePoint> backAt;
        uint32_t inFlight = 0;
        std::vector<std::function<void()>> broken;
    };
    struct Event {
        TimePoint at;
        uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const Event& other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };
    struct Request {
        size_t daemon = 0;
        ServiceId service;
        int sends = 0;
        std::vector<EndpointId> tried;
        TimePoint arrivedAt {};
    };

    static ServiceId serviceOf(size_t endpoint)
    {
        return ServiceId(fmt::format("s{}", endpoint / dataCentreCount % serviceCount));
    }
    void at(Duration after, std::function<void()> action)
    {
        m_events.push({ .at = m_now + after, .number = ++m_numbers, .action = std::move(action) });
    }

    void planFailures()
    {
        const auto down = 17 + m_random.below(7);
        for (size_t i = 0; i < down; ++i) {
            const size_t endpoint = 10 + i * 3;
            const auto from = Duration(m_random.below(Duration(duration - 4s).count()));
            at(from, [this, endpoint] { setUp(endpoint, false); });
            at(from + 2s + Duration(m_random.below(Duration(2s).count())),
                [this, endpoint] { setUp(endpoint, true); });
        }
        for (size_t endpoint = 0; endpoint < 10; ++endpoint) {
            auto from = Duration(m_random.below(Duration(flapPeriod).count()));
            for (bool isUp = false; from < duration; from += flapPeriod, isUp = !isUp)
                at(from, [this, endpoint, isUp] { setUp(endpoint, isUp); });
        }
    }

    void setUp(size_t i, bool isUp)
    {
        auto& endpoint = m_endpoints[i];
        if (endpoint.isUp == isUp)
            return;
        endpoint.isUp = isUp;
        if (isUp) {
            endpoint.backAt = m_now;
            return;
        }
        endpoint.backAt.reset();
        for (const auto& it : std::exchange(endpoint.broken, {}))
            it();
    }

    void scheduleArrival(size_t daemon)
    {
        const double mean = static_cast<double>(daemonCount) / requestsPerSecond;
        at(fromSeconds(-std::log(1 - m_random.fraction()) * mean), [this, daemon] {
            send({ .daemon = daemon,
                .service = serviceOf(m_random.below(endpointCount)),
                .arrivedAt = m_now });
            scheduleArrival(daemon);
        });
    }

    void fail(Request request)
    {
        ++m_result.failedSends;
        if (++request.sends < maxSendsOfARequest)
            send(std::move(request));
        else
            ++m_result.endedUnsent;
    }

    bool reports(const Daemon& daemon) const
    {
        return m_sharesReports && daemon.links.state() == LinkState::Up;
    }

    void recordGone(Daemon& daemon, uint64_t hash)
    {
        if (reports(daemon))
            daemon.registry.failureReports().recordFailure(hash, 1, m_now);
        hasten(daemon.index);
    }

    void send(Request request)
    {
        auto& daemon = *m_daemons[request.daemon];
        const Work work { .isStream = true, .promptTokens = 500, .answerTokens = 40 };
        const auto state = daemon.registry.choose({ .service = request.service,
                                                      .work = work,
                                                      .objectiveAt = request.arrivedAt + 900ms,
                                                      .tried = request.tried },
            m_now);
        if (!state) {
            if (m_now - request.arrivedAt < longestWait)
                at(30ms, [this, request] { send(request); });
            else
                ++m_result.neverStarted;
            return;
        }
        const auto hash = state->hash();
        const auto index = m_indexes.at(hash);
        auto& endpoint = m_endpoints[index];
        request.tried.push_back(state->entry().id);
        state->recordSend(work, m_now);
        if (!endpoint.isUp) {
            state->recordEnd(work, SendOutcome::Unreachable, false, m_now);
            daemon.links.recordConnectFailed(hash, m_now);
            daemon.links.update(m_now);
            recordGone(daemon, hash);
            fail(std::move(request));
            return;
        }
        if (const auto backAt = std::exchange(endpoint.backAt, std::nullopt))
            m_result.longestUnused = std::max(m_result.longestUnused, m_now - *backAt);
        if (endpoint.inFlight >= slots) {
            ++m_result.rejected;
            state->recordEnd(work, SendOutcome::Full, false, m_now);
            if (++request.sends < maxSendsOfARequest)
                send(std::move(request));
            return;
        }
        ++endpoint.inFlight;
        // Most requests find an idle connection.
        if (m_random.chance(0.2)) {
            daemon.links.recordConnected(hash, m_now);
            heard(daemon, hash);
        }
        auto isOver = std::make_shared<bool>(false);
        endpoint.broken.push_back([this, isOver, state, hash, request, work]() mutable {
            if (std::exchange(*isOver, true))
                return;
            auto& owner = *m_daemons[request.daemon];
            ++m_result.broken;
            --m_endpoints[m_indexes.at(hash)].inFlight;
            state->recordEnd(work, SendOutcome::Failed, false, m_now);
            owner.links.recordBroken(hash, m_now);
            // EndpointPools::checkAlive() finds that the endpoint is gone.
            state->recordLost(m_now);
            recordGone(owner, hash);
            fail(std::move(request));
        });
        const auto time = meanServiceTime / 2 + Duration(m_random.below(meanServiceTime.count()));
        at(time, [this, isOver, state, hash, request, work] {
            if (std::exchange(*isOver, true))
                return;
            --m_endpoints[m_indexes.at(hash)].inFlight;
            ++m_result.succeeded;
            state->recordEnd(work, SendOutcome::Succeeded, false, m_now);
            heard(*m_daemons[request.daemon], hash);
        });
    }

    void heard(Daemon& daemon, uint64_t hash)
    {
        daemon.links.recordHeard(hash, m_now);
        if (m_sharesReports)
            daemon.registry.failureReports().recordHeard(hash, 1, m_now);
        hasten(daemon.index);
    }

    void deliver(size_t from, size_t to, ReportScope scope, std::vector<EndpointFailureReport> reports)
    {
        m_result.mostReports = std::max(m_result.mostReports, reports.size());
        at(delay, [this, from, to, scope, reports = std::move(reports)] {
            auto& daemon = *m_daemons[to];
            daemon.registry.failureReports().apply(m_all[from], scope, reports, m_now);
            if (!reports.empty())
                check(daemon);
            hasten(to);
        });
    }

    static bool areLinksDoubtful(const Daemon& daemon, TimePoint now)
    {
        return daemon.links.state() != LinkState::Up || daemon.links.isSuspicious(now);
    }

    /// Checks the endpoints for which the daemon is responsible.
    void check(Daemon& daemon)
    {
        if (areLinksDoubtful(daemon, m_now))
            return;
        for (const auto hash : daemon.registry.failureReports().nextProbes(m_now)) {
            ++m_result.checks;
            if (m_endpoints[m_indexes.at(hash)].isUp) {
                daemon.links.recordConnected(hash, m_now);
                heard(daemon, hash);
            } else {
                daemon.registry.findByHash(hash)->recordLost(m_now);
                recordGone(daemon, hash);
            }
        }
    }

    /// The other daemons' loads, as old as sums are.
    void updateLoads(Daemon& daemon)
    {
        auto& own = daemon.loads.emplace_front(endpointCount);
        for (const auto& [id, it] : daemon.registry.all())
            own[m_indexes.at(it->hash())] = static_cast<uint16_t>(it->ownInFlight());
        if (daemon.loads.size() > loadAgeInTicks)
            daemon.loads.pop_back();
        std::vector<PeerLoad> loads(endpointCount);
        for (const auto& [hash, k] : m_indexes) {
            loads[k].endpoint = hash;
            for (const auto& it : m_daemons) {
                if (it.get() != &daemon && !it->loads.empty())
                    loads[k].inFlight = static_cast<uint16_t>(loads[k].inFlight + it->loads.back()[k]);
            }
        }
        daemon.registry.updatePeerLoads("fleet", loads, m_now);
    }

    /// As EdgeDaemon and EndpointReportExchange do, with the routes and periods of PeerSummaries. The first
    /// two daemons of each data centre are its aggregators.
    void heartbeat(size_t i)
    {
        at(heartbeatTick, [this, i] { heartbeat(i); });
        updateLoads(*m_daemons[i]);
        sendReports(i, ++m_daemons[i]->ticks);
    }

    static bool isAggregator(size_t i) { return i < 2 * dataCentreCount; }

    /// What is new is sent at once, apart from a least time between two rounds.
    void hasten(size_t i)
    {
        auto& daemon = *m_daemons[i];
        if (!m_sharesReports || !daemon.registry.failureReports().takeNews(isAggregator(i))
            || daemon.isHastened)
            return;
        daemon.isHastened = true;
        at(std::max<Duration>(1ms, daemon.sentAt + leastTimeBetweenRounds - m_now), [this, i] {
            m_daemons[i]->isHastened = false;
            sendReports(i, 0);
        });
    }

    void sendReports(size_t i, uint64_t tick)
    {
        auto& daemon = *m_daemons[i];
        daemon.sentAt = m_now;
        ++m_result.rounds;
        daemon.links.update(m_now);
        for (const auto hash : daemon.links.nextProbes(m_now)) {
            if (m_endpoints[m_indexes.at(hash)].isUp) {
                daemon.links.recordConnected(hash, m_now);
                heard(daemon, hash);
            } else {
                daemon.links.recordConnectFailed(hash, m_now);
                recordGone(daemon, hash);
            }
        }
        if (!m_sharesReports)
            return;
        auto& reports = daemon.registry.failureReports();
        reports.dropOld(m_now);
        for (const auto& [id, it] : daemon.registry.all()) {
            if (it->isUnusable(m_now) && reports.hasRecovered(it->hash(), 1, it->failedAt()))
                it->endSuspension();
        }
        check(daemon);
        const auto own = areLinksDoubtful(daemon, m_now) ? std::vector<EndpointFailureReport> {}
                                                         : reports.reports(ReportScope::Daemon, m_now);
        const auto dataCentre = reports.reports(ReportScope::DataCentre, m_now);
        const auto fleet = reports.reports(ReportScope::Fleet, m_now);
        for (size_t k = 0; k < daemonCount; ++k) {
            const bool isNear = dataCentreOf(k) == dataCentreOf(i);
            if (k == i || (!isAggregator(k) && !(isAggregator(i) && isNear)))
                continue;
            if (isAggregator(k) && isNear)
                deliver(i, k, ReportScope::Daemon, own);
            else if (isAggregator(k) && isAggregator(i) && tick % 2 == 0)
                deliver(i, k, ReportScope::DataCentre, dataCentre);
            else if (!isAggregator(k) && (tick % 5 == 0 || k / dataCentreCount % 2 == i / dataCentreCount))
                deliver(i, k, ReportScope::Fleet, fleet);
        }
    }

    bool m_sharesReports;
    Random m_random;
    TimePoint m_now { start };
    uint64_t m_numbers = 0;
    std::priority_queue<Event> m_events;
    std::vector<EndpointFailureReports::Daemon> m_all;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<Endpoint> m_endpoints;
    std::map<uint64_t, size_t> m_indexes;
    Result m_result;
};

TEST(EndpointReportsFleet, EachDaemonFoundEachFailureForItself)
{
    for (const uint64_t seed : { 1, 2, 3 }) {
        const auto without = Fleet(false, seed).run();
        const auto with = Fleet(true, seed).run();
        for (const auto& [name, it] : { std::pair { "without", without }, std::pair { "with", with } })
            std::cout << fmt::format("seed {} {} reports: {} failed sends ({} in flight at a crash), {} "
                                     "succeeded, {} requests ended unsent, {} rejected, {} never started, {} "
                                     "checks, {} rounds, unused for {} ms, at "
                                     "most {} reports\n",
                seed, name, it.failedSends, it.broken, it.succeeded, it.endedUnsent, it.rejected,
                it.neverStarted, it.checks, it.rounds, it.longestUnused / 1ms, it.mostReports);
        EXPECT_LT(with.failedSends * 5, without.failedSends) << seed;
        EXPECT_LE(with.longestUnused, 1300ms) << seed;
        EXPECT_LE(with.mostReports, EndpointFailureReports::maxReports);
    }
}

} // namespace
} // namespace lentilbay::edge
