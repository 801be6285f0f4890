// Complete fleets that exchange heartbeats in virtual time: the sums that daemons receive are compared with
// what all daemons have in flight and have admitted.
#include "lentilbay/Edge/PeerSummaries.h"

#include "lentilbay/Policy/SharedQuota.h"
#include "lentilbay/Support/Random.h"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <queue>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

constexpr Duration tick = 200ms;
constexpr Duration delay = 10ms;
constexpr size_t dataCentres = 6;
constexpr uint64_t organisation = 7;
/// Longer than any test, so that nothing leaves it.
constexpr Duration window = std::chrono::hours(1);
const QuotaLimits unlimited { .tokensPerSecond = 1e12,
    .burstTokens = 1e12,
    .window = window,
    .windowTokens = 1e12,
    .toleranceTokens = 1e12 };

struct FleetOptions {
    size_t daemons = 100;
    /// Daemons with a number below it run a build without summaries.
    size_t olderBuilds = 0;
    uint64_t seed = 1;
};

/// Daemons that send heartbeats as EdgeDaemon does.
class Fleet {
public:
    explicit Fleet(FleetOptions options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (size_t i = 0; i < options.daemons; ++i)
            m_daemons.push_back(nullptr);
        for (size_t i = 0; i < options.daemons; ++i)
            start(i);
    }

    struct Daemon {
        explicit Daemon(PeerSummariesOptions given)
            : name(given.daemon)
            , dataCentre(given.topology.ownDataCentre.text())
            , peers(given.daemon)
            , summaries(given)
            , quota(unlimited, false, {}, given.startedAt)
        {
        }

        std::string name;
        std::string dataCentre;
        PeerTable peers;
        PeerSummaries summaries;
        SharedQuota quota;
        WireRevision revision = newestWireRevision;
        uint64_t incarnation = 0;
        uint64_t sequence = 0;
        TimePoint nextTickAt {};
        std::map<std::string, TimePoint> nextAt;
        std::vector<PeerLoad> loads;
        double admitted = 0;
        /// Loads by the daemon or sum that states them, and when that was.
        std::map<std::string, std::pair<TimePoint, std::vector<PeerLoad>>> peerLoads;
        std::set<std::string> summarised;
        /// Heartbeats sent and received.
        size_t sent = 0;
        size_t received = 0;
        size_t sentBytes = 0;
    };

    static std::string nameOf(size_t i) { return "edge-" + std::to_string(i); }
    static std::string dataCentreOf(size_t i) { return "dc-" + std::to_string(i % dataCentres); }
    Daemon* find(size_t i) { return m_daemons[i].get(); }
    TimePoint now() const { return m_now; }
    Random& random() { return m_random; }

    /// Starts a daemon, or starts it again. It knows the names of all others.
    void start(size_t i)
    {
        Topology topology { .ownDataCentre = DataCentreId(dataCentreOf(i)) };
        for (size_t k = 0; k < dataCentres; ++k)
            topology.regions[DataCentreId(dataCentreOf(k))] = RegionId("region-" + std::to_string(k / 2));
        auto daemon = std::make_unique<Daemon>(PeerSummariesOptions { .daemon = nameOf(i),
            .topology = topology,
            .capacity = i < dataCentres * 3 ? 500U : 120U,
            .isFirstStart = m_now == TimePoint {},
            .startedAt = m_now });
        daemon->incarnation = ++m_incarnations;
        daemon->nextTickAt = m_now + Duration(m_random.below(tick.count()));
        if (i < m_options.olderBuilds)
            daemon->revision = WireRevision::Sections;
        for (size_t k = 0; k < m_options.daemons; ++k)
            daemon->peers.addListed(nameOf(k), nameOf(k), 1, m_now);
        m_daemons[i] = std::move(daemon);
    }
    void kill(size_t i) { m_daemons[i].reset(); }
    /// No datagram passes between daemons for which this is true.
    void cut(std::function<bool(const Daemon&, const Daemon&)> isCut) { m_isCut = std::move(isCut); }

    void admit(size_t i, double tokens)
    {
        auto& daemon = *m_daemons[i];
        daemon.admitted += tokens;
        ASSERT_TRUE(daemon.quota.admit(tokens, unlimited, {}, m_now));
        m_admitted += tokens;
    }
    /// What all daemons have admitted, also those that were killed.
    double admitted() const { return m_admitted; }

    /// Each daemon admits something and changes its loads at every tick.
    void setBusy(bool isBusy) { m_isBusy = isBusy; }

    void run(Duration duration)
    {
        const auto end = m_now + duration;
        for (m_now += 10ms; m_now < end; m_now += 10ms) {
            while (!m_datagrams.empty() && m_datagrams.front().at <= m_now) {
                const auto it = std::move(m_datagrams.front());
                m_datagrams.pop();
                if (m_daemons[it.to])
                    receive(*m_daemons[it.to], *it.heartbeat, it.from);
            }
            for (size_t i = 0; i < m_daemons.size(); ++i) {
                if (m_daemons[i] && m_daemons[i]->nextTickAt <= m_now) {
                    m_daemons[i]->nextTickAt += tick;
                    if (m_isBusy)
                        work(i);
                    send(i);
                }
            }
        }
    }

    /// The requests that a daemon believes the others to have in flight, by endpoint.
    static std::map<uint64_t, int> loadsAt(const Daemon& daemon)
    {
        std::map<uint64_t, int> out;
        for (const auto& [source, it] : daemon.peerLoads) {
            for (const auto& load : it.second)
                out[load.endpoint] += load.inFlight;
        }
        return out;
    }
    std::map<uint64_t, int> loadsOfOthers(const Daemon& daemon) const
    {
        std::map<uint64_t, int> out;
        for (const auto& it : m_daemons) {
            if (!it || it.get() == &daemon)
                continue;
            for (const auto& load : it->loads)
                out[load.endpoint] += load.inFlight;
        }
        return out;
    }
    size_t aggregators() const
    {
        return std::ranges::count_if(
            m_daemons, [](const auto& it) { return it && it->summaries.isAggregator(); });
    }

    void expectExact() const
    {
        for (const auto& it : m_daemons) {
            if (!it)
                continue;
            auto& daemon = *it;
            EXPECT_EQ(loadsAt(daemon), loadsOfOthers(daemon)) << daemon.name;
            EXPECT_NEAR(daemon.quota.admittedInWindow(m_now), m_admitted, 1) << daemon.name;
        }
    }

private:
    struct Datagram {
        TimePoint at;
        size_t from = 0;
        size_t to = 0;
        std::shared_ptr<const PeerHeartbeat> heartbeat;
    };

    void work(size_t i)
    {
        admit(i, 1 + static_cast<double>(m_random.below(10)));
        auto& loads = m_daemons[i]->loads;
        loads.clear();
        for (uint64_t k = 0; k < 5; ++k)
            loads.push_back({ .endpoint = k * 48 + m_random.below(48), .inFlight = 2 });
    }

    void send(size_t i)
    {
        auto& daemon = *m_daemons[i];
        daemon.peers.detectSilent(m_now);
        std::erase_if(daemon.peerLoads, [&](const auto& it) { return m_now - it.second.first >= 1500ms; });
        const bool usesSums = usesSummaries(daemon.revision);
        if (usesSums) {
            for (const auto& it : daemon.summaries.update(daemon.peers, false, m_now))
                daemon.peerLoads.erase(it);
            for (const auto& [hash, tokens] : daemon.summaries.takeEstimatedUse())
                daemon.quota.applyUse(tokens, m_now);
        }
        PeerHeartbeat own { .daemon = daemon.name,
            .incarnation = daemon.incarnation,
            .sequence = ++daemon.sequence,
            .dataCentre = daemon.dataCentre,
            .sentMicroseconds = m_now.time_since_epoch().count(),
            .loads = daemon.loads,
            .quotas = { { .organisation = organisation, .admittedTotal = daemon.admitted } },
            .countsAllUse = true,
            .revision = daemon.revision,
            .capacity = daemon.summaries.capacity() };
        daemon.summaries.recordOwn(own, m_now);
        for (const auto& [name, peer] : daemon.peers.peers()) {
            const auto route
                = usesSums ? daemon.summaries.routeTo(name, peer) : PeerSummaries::Route { .period = 600ms };
            auto& next = daemon.nextAt[name];
            if (!route || m_now < next)
                continue;
            next = m_now + route->period - tick / 2;
            auto heartbeat = std::make_shared<PeerHeartbeat>(own);
            heartbeat->periodMilliseconds = static_cast<uint32_t>(route->period / 1ms);
            heartbeat->echoedIncarnation = peer.incarnation;
            if (route->content != PeerSummaries::Content::Own) {
                heartbeat->summary = route->content == PeerSummaries::Content::Fleet
                    ? daemon.summaries.fleetSummary(m_now)
                    : daemon.summaries.dataCentreSummary(m_now);
                heartbeat->hasSummary = true;
                heartbeat->members = daemon.summaries.members(daemon.peers, route->content, daemon.sequence);
                heartbeat->includedSequence = daemon.summaries.includedSequence(name, m_now);
                heartbeat->loads.clear();
                heartbeat->quotas.clear();
            }
            const auto to = std::stoul(name.substr(5));
            ++daemon.sent;
            if (m_countsBytes)
                daemon.sentBytes += encodePeerHeartbeat(*heartbeat, peer.revision).size();
            if (m_daemons[to] && !(m_isCut && m_isCut(daemon, *m_daemons[to])))
                m_datagrams.push(
                    { .at = m_now + delay, .from = i, .to = to, .heartbeat = std::move(heartbeat) });
        }
    }

    void receive(Daemon& daemon, const PeerHeartbeat& heartbeat, size_t from)
    {
        const auto known = daemon.peers.peers().find(heartbeat.daemon);
        const bool wasKnown
            = known != daemon.peers.peers().end() && known->second.incarnation == heartbeat.incarnation;
        if (!daemon.peers.recordHeartbeat(heartbeat, nameOf(from), 1, m_now))
            return;
        ++daemon.received;
        auto& summaries = daemon.summaries;
        const bool usesSums = usesSummaries(daemon.revision);
        if (heartbeat.hasSummary && usesSums) {
            for (const auto& [dataCentre, period, daemons] : heartbeat.members) {
                for (const auto& it : daemons) {
                    if (daemon.peers.recordMember(it, dataCentre, std::chrono::milliseconds(period), m_now)
                        && summaries.isSummarised(
                            { .dataCentre = dataCentre, .revision = it.revision }, m_now))
                        daemon.summarised.insert(it.daemon);
                }
            }
            const auto update = summaries.applySummary(heartbeat, m_now);
            if (!update)
                return;
            if (update->isFirst) {
                for (const auto& [name, peer] : daemon.peers.peers()) {
                    if (summaries.isSummarised(
                            { .dataCentre = peer.dataCentre, .revision = peer.revision }, m_now)) {
                        daemon.peerLoads.erase(name);
                        daemon.summarised.insert(name);
                    }
                }
            }
            daemon.peerLoads[update->source] = { m_now, update->loads };
            for (const auto& [hash, tokens] : update->use)
                daemon.quota.applyUse(tokens, m_now);
            return;
        }
        const bool isSummarised = usesSums && summaries.isSummarised(heartbeat, m_now);
        if (usesSums)
            summaries.recordPeer(heartbeat, wasKnown, m_now);
        if (!isSummarised)
            daemon.peerLoads[heartbeat.daemon] = { m_now, heartbeat.loads };
        const QuotaReport report { .incarnation = heartbeat.incarnation,
            .admittedTotal = heartbeat.quotas.empty() ? 0 : heartbeat.quotas[0].admittedTotal,
            .countsAllUse = true };
        if (!isSummarised && daemon.summarised.erase(heartbeat.daemon) == 0)
            summaries.recordUse(
                heartbeat, organisation, daemon.quota.applyReport(heartbeat.daemon, report, m_now), m_now);
        else
            daemon.quota.skipReport(heartbeat.daemon, report);
    }

public:
    bool m_countsBytes = false;

private:
    FleetOptions m_options;
    Random m_random;
    TimePoint m_now {};
    uint64_t m_incarnations = 0;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::queue<Datagram> m_datagrams;
    std::function<bool(const Daemon&, const Daemon&)> m_isCut;
    bool m_isBusy = false;
    double m_admitted = 0;
};

/// Long enough for all sums to include what was stated last.
constexpr Duration settling = 3s;

void runBusy(Fleet& fleet, Duration duration)
{
    fleet.setBusy(true);
    fleet.run(duration);
    fleet.setBusy(false);
}

TEST(PeerSummaries, EachDaemonKnowsTheSumsOverALargeFleet)
{
    Fleet fleet({ .daemons = 300 });
    fleet.run(4s);
    EXPECT_EQ(fleet.aggregators(), 2 * dataCentres);
    runBusy(fleet, 6s);
    fleet.run(settling);
    fleet.expectExact();
}

TEST(PeerSummaries, HeartbeatsOfADaemonDoNotGrowWithTheFleet)
{
    // With one heartbeat to each daemon, a daemon of this fleet of 300 sent 520 a second.
    std::map<size_t, double> mostSent;
    for (const size_t n : { 100U, 300U, 1000U }) {
        Fleet fleet({ .daemons = n });
        fleet.run(2500ms);
        std::vector<std::pair<size_t, size_t>> before;
        for (size_t i = 0; i < n; ++i)
            before.emplace_back(fleet.find(i)->sent, fleet.find(i)->received);
        constexpr int seconds = 2;
        runBusy(fleet, std::chrono::seconds(seconds));
        for (size_t i = 0; i < n; ++i) {
            const auto& it = *fleet.find(i);
            const auto sent = static_cast<double>(it.sent - before[i].first) / seconds;
            const auto received = static_cast<double>(it.received - before[i].second) / seconds;
            if (it.summaries.isAggregator()) {
                EXPECT_LE(sent, 30 + 5.0 * static_cast<double>(n) / dataCentres) << n;
                continue;
            }
            EXPECT_LE(sent, 11) << n;
            EXPECT_LE(received, 8) << n;
            mostSent[n] = std::max(mostSent[n], sent);
        }
    }
    EXPECT_LE(mostSent[1000], mostSent[100] * 1.1);
}

TEST(PeerSummaries, UseIsKnownToAllWithinASecond)
{
    Fleet fleet({});
    fleet.run(4s);
    for (size_t i = 30; i < 36; ++i) {
        fleet.admit(i, 1000);
        fleet.run(1s);
        fleet.expectExact();
    }
}

TEST(PeerSummaries, LossOfAggregatorsLosesNoMoreThanASecondOfUse)
{
    Fleet fleet({});
    fleet.run(7s);
    std::set<std::string> former;
    for (size_t i = 0; i < 100; ++i) {
        if (fleet.find(i)->summaries.isAggregator())
            former.insert(Fleet::nameOf(i));
    }
    runBusy(fleet, 3s);
    // One aggregator of each data centre, and later another one, so that the first one's successor is counted
    // by.
    std::set<std::string> successors;
    for (int round = 0; round < 2; ++round) {
        std::set<std::string> hit;
        for (size_t i = 0; i < 100; ++i) {
            auto* it = fleet.find(i);
            if (it && it->summaries.isAggregator() && hit.insert(it->dataCentre).second)
                fleet.kill(i);
        }
        EXPECT_EQ(hit.size(), dataCentres);
        runBusy(fleet, 9s);
        EXPECT_EQ(fleet.aggregators(), 2 * dataCentres);
        for (size_t i = 0; i < 100; ++i) {
            if (fleet.find(i) && fleet.find(i)->summaries.isAggregator()
                && !former.contains(Fleet::nameOf(i)))
                successors.insert(Fleet::nameOf(i));
        }
    }
    fleet.run(settling);
    for (size_t i = 0; i < 100; ++i) {
        auto* it = fleet.find(i);
        if (!it)
            continue;
        EXPECT_EQ(Fleet::loadsAt(*it), fleet.loadsOfOthers(*it));
        // The totals of two aggregators are up to a second apart in age, which is 2750 tokens; a successor
        // may miss what was admitted in the 4 s in which it became an aggregator.
        constexpr double perSecond = 2750;
        EXPECT_LE(it->quota.admittedInWindow(fleet.now()), fleet.admitted() + perSecond / 10) << it->name;
        EXPECT_GE(it->quota.admittedInWindow(fleet.now()),
            fleet.admitted() - perSecond * (successors.contains(it->name) ? 4 : 1))
            << it->name;
    }
}

TEST(PeerSummaries, LossOfAllAggregatorsOfADataCentreIsBridgedByAnEstimate)
{
    // Guards against daemons that count nothing of what others admit until there are new aggregators: they
    // missed up to 2.5 s of use, some 6800 tokens here.
    Fleet fleet({});
    fleet.run(7s);
    runBusy(fleet, 3s);
    for (size_t i = 0; i < 100; ++i) {
        auto* it = fleet.find(i);
        if (it->dataCentre == "dc-1" && it->summaries.isAggregator())
            fleet.kill(i);
    }
    constexpr double perSecond = 2750;
    const auto expectCounted = [&](double missing, double excess) {
        for (size_t i = 0; i < 100; ++i) {
            auto* it = fleet.find(i);
            if (!it)
                continue;
            const double counted = it->quota.admittedInWindow(fleet.now());
            EXPECT_GE(counted, fleet.admitted() - missing * perSecond) << it->name;
            EXPECT_LE(counted, fleet.admitted() + excess * perSecond) << it->name;
        }
    };
    fleet.setBusy(true);
    for (int k = 0; k < 18; ++k) {
        fleet.run(500ms);
        expectCounted(1.5, 1.5);
    }
    fleet.setBusy(false);
    fleet.run(settling);
    expectCounted(0.5, 1.5);
}

TEST(PeerSummaries, RestartedAggregatorCountsNothingTwice)
{
    Fleet fleet({});
    fleet.run(7s);
    runBusy(fleet, 3s);
    fleet.run(settling);
    for (size_t i = 0; i < 100; ++i) {
        if (fleet.find(i)->summaries.isAggregator()) {
            fleet.kill(i);
            fleet.run(1s);
            fleet.start(i);
            break;
        }
    }
    fleet.run(6s);
    const auto before = fleet.admitted();
    runBusy(fleet, 3s);
    fleet.run(settling);
    for (size_t i = 0; i < 100; ++i) {
        auto& it = *fleet.find(i);
        EXPECT_EQ(Fleet::loadsAt(it), fleet.loadsOfOthers(it)) << it.name;
        const auto counted = it.quota.admittedInWindow(fleet.now());
        EXPECT_TRUE(
            std::abs(counted - fleet.admitted()) < 1 || std::abs(counted - (fleet.admitted() - before)) < 1)
            << it.name << " counts " << counted << " of " << fleet.admitted();
    }
}

TEST(PeerSummaries, DataCentreThatWasCutOffIsCountedAgain)
{
    Fleet fleet({});
    fleet.run(7s);
    runBusy(fleet, 2s);
    fleet.cut(
        [](const auto& a, const auto& b) { return (a.dataCentre == "dc-1") != (b.dataCentre == "dc-1"); });
    runBusy(fleet, 6s);
    EXPECT_GE(fleet.find(0)->peers.silentDaemons(), 16U) << "a data centre that is cut off is silent";
    fleet.cut({});
    fleet.run(5s);
    EXPECT_EQ(fleet.find(0)->peers.silentDaemons(), 0U);
    fleet.expectExact();
}

TEST(PeerSummaries, DaemonThatHearsNobodyIsHeardAgainAfterACut)
{
    Fleet fleet({});
    fleet.run(7s);
    fleet.cut([](const auto& a, const auto& b) { return a.name == "edge-90" || b.name == "edge-90"; });
    runBusy(fleet, 6s);
    EXPECT_EQ(fleet.find(90)->peers.silentDaemons(), 99U);
    fleet.cut({});
    fleet.run(5s);
    EXPECT_EQ(fleet.find(90)->peers.silentDaemons(), 0U);
    EXPECT_FALSE(fleet.find(90)->summaries.isAggregator());
    fleet.expectExact();
}

TEST(PeerSummaries, DaemonsOfOlderBuildsAreHeardDirectly)
{
    // During an upgrade, daemons that know nothing of summaries count as ever, and are counted once.
    Fleet fleet({ .daemons = 90, .olderBuilds = 30 });
    fleet.run(4s);
    runBusy(fleet, 4s);
    fleet.run(settling);
    fleet.expectExact();
}

TEST(PeerSummaries, SmallFleetSendsToEachDaemon)
{
    Fleet fleet({ .daemons = 8 });
    fleet.run(2s);
    EXPECT_EQ(fleet.aggregators(), 0U);
    runBusy(fleet, 2s);
    fleet.run(settling);
    fleet.expectExact();
}

TEST(PeerSummaries, AllDaemonsStartedAgainAtOnceFindEachOther)
{
    Fleet fleet({});
    fleet.run(4s);
    runBusy(fleet, 2s);
    const auto before = fleet.admitted();
    for (size_t i = 0; i < 100; ++i)
        fleet.start(i);
    runBusy(fleet, 4s);
    EXPECT_EQ(fleet.aggregators(), 2 * dataCentres);
    fleet.run(settling);
    const auto admitted = fleet.admitted() - before;
    for (size_t i = 0; i < 100; ++i) {
        // Until sums are known, use is counted by the first heartbeats of each daemon, one a second.
        const auto counted = fleet.find(i)->quota.admittedInWindow(fleet.now());
        EXPECT_LE(counted, admitted + 1) << i;
        EXPECT_GE(counted, admitted * 0.7) << i;
    }
}

} // namespace
} // namespace lentilbay::edge
