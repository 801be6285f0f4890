// Tests, in virtual time, that a fleet of daemons together keeps the limit that an endpoint states, while
// statements reach them late and out of order.
#include "lentilbay/Edge/PeerHeartbeat.h"
#include "lentilbay/Support/Random.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

constexpr uint64_t endpointHash = 7;
constexpr Duration step = 10ms;
constexpr Duration window = 4s;
constexpr Duration contactTime = 3s;
/// A daemon that has relayed a statement must respect it from this long after.
constexpr Duration toldTime = 500ms;
constexpr Duration nearPeriod = 200ms;
constexpr Duration farPeriod = 1s;

struct FleetOptions {
    size_t daemons = 66;
    uint64_t seed = 1;
    /// The limit that the endpoint states at a time.
    std::function<std::optional<double>(TimePoint)> limit;
    /// The time until the head of an answer.
    std::function<Duration(Random&, TimePoint)> headDelay = [](Random&, TimePoint) { return 50ms; };
    /// The fraction of requests that the endpoint rejects, in an answer that states no limit.
    double rejectedFraction = 0;
    /// The probability that a daemon has a request for the endpoint in a step.
    double demand = 1;
    /// Whether a daemon hears another one.
    std::function<bool(size_t to, size_t from, TimePoint)> hears
        = [](size_t, size_t, TimePoint) { return true; };
};

class Fleet {
public:
    explicit Fleet(FleetOptions options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
        , m_daemons(m_options.daemons)
    {
        for (size_t i = 0; i < m_daemons.size(); ++i)
            m_all.push_back({ .name = fmt::format("d{}", i), .dataCentre = dataCentreOf(i) });
        for (size_t i = 0; i < m_daemons.size(); ++i)
            m_daemons[i].peers = PeerTable(m_all[i].name);
    }

    void run(TimePoint begin, TimePoint end)
    {
        for (auto now = begin; now < end; now += step) {
            receiveAnswers(now);
            exchangeHeartbeats(now);
            for (size_t i = 0; i < m_daemons.size(); ++i) {
                auto& it = m_daemons[i];
                if (m_random.fraction() >= m_options.demand)
                    continue;
                if (!it.table.empty() && !it.table.maySend(endpointHash, it.lastSendAt, now))
                    continue;
                it.lastSendAt = now;
                arrive(i, now);
            }
        }
    }

    /// The most requests in a window, from daemons that had relayed a statement.
    size_t mostInAnyWindow(TimePoint begin, TimePoint end) const
    {
        std::vector<TimePoint> times;
        for (const auto& [at, daemon] : m_arrivals) {
            const auto told = m_daemons[daemon].toldAt;
            if (at >= begin && at < end && told && at - *told >= toldTime)
                times.push_back(at);
        }
        size_t out = 0;
        for (size_t i = 0, first = 0; i < times.size(); ++i) {
            while (times[i] - times[first] >= window)
                ++first;
            out = std::max(out, i - first + 1);
        }
        return out;
    }

    size_t arrivals(TimePoint begin, TimePoint end) const
    {
        return std::ranges::count_if(
            m_arrivals, [&](const auto& it) { return it.first >= begin && it.first < end; });
    }

private:
    struct Daemon {
        EndpointSignalTable table;
        PeerTable peers { "" };
        TimePoint lastSendAt {};
        std::optional<TimePoint> toldAt;
    };
    struct Answer {
        size_t daemon = 0;
        TimePoint sentAt {};
        std::optional<double> limit;
        bool isRejection = false;
    };

    static DataCentreId dataCentreOf(size_t i) { return DataCentreId(fmt::format("dc{}", i % 9)); }

    static EndpointIncarnation incarnation()
    {
        return { .endpoint = endpointHash, .startedAtMilliseconds = 1, .dataCentre = DataCentreId("dc0") };
    }

    void arrive(size_t daemon, TimePoint now)
    {
        m_arrivals.emplace_back(now, daemon);
        const auto draw = m_random.fraction();
        if (draw < m_options.rejectedFraction) {
            m_answers.emplace(now + 20ms, Answer { .daemon = daemon, .sentAt = now, .isRejection = true });
            return;
        }
        m_answers.emplace(now + m_options.headDelay(m_random, now),
            Answer { .daemon = daemon, .sentAt = now, .limit = m_options.limit(now) });
    }

    void receiveAnswers(TimePoint now)
    {
        while (!m_answers.empty() && m_answers.begin()->first <= now) {
            const auto it = m_answers.begin()->second;
            m_answers.erase(m_answers.begin());
            auto& daemon = m_daemons[it.daemon];
            if (it.limit && !daemon.toldAt)
                daemon.toldAt = now;
            daemon.table.recordAnswer({ .endpoint = incarnation(),
                                          .signals = { .maxRequestsPerSecond = it.limit },
                                          .isConclusive = !it.isRejection,
                                          .sentAt = it.sentAt },
                now);
        }
    }

    void exchangeHeartbeats(TimePoint now)
    {
        for (size_t from = 0; from < m_daemons.size(); ++from) {
            const auto phase = from * 30ms;
            const auto isDue
                = [&](Duration period) { return (now.time_since_epoch() + phase) % period == Duration {}; };
            if (!isDue(nearPeriod))
                continue;
            auto& sender = m_daemons[from];
            auto alive = sender.peers.sendingDaemons(now);
            alive.push_back(m_all[from]);
            sender.table.setDaemons(m_all[from].name, std::move(alive), now);
            sender.table.dropOld(now);
            const auto reports = sender.table.reports(now);
            ++m_sequence;
            for (size_t to = 0; to < m_daemons.size(); ++to) {
                const bool isNear = m_all[to].dataCentre == m_all[from].dataCentre;
                if (to == from || !(isNear || isDue(farPeriod)) || !m_options.hears(to, from, now))
                    continue;
                const auto period = isNear ? nearPeriod : farPeriod;
                m_daemons[to].peers.recordHeartbeat(
                    { .daemon = m_all[from].name,
                        .incarnation = 1,
                        .sequence = m_sequence,
                        .dataCentre = m_all[from].dataCentre.text(),
                        .periodMilliseconds = static_cast<uint32_t>(period / 1ms) },
                    "h", 1, now);
                for (const auto& it : reports)
                    m_daemons[to].table.applyReport(it, incarnation(), now - period, now);
            }
        }
    }

    FleetOptions m_options;
    Random m_random;
    std::vector<Daemon> m_daemons;
    std::vector<SendingDaemon> m_all;
    uint64_t m_sequence = 0;
    std::vector<std::pair<TimePoint, size_t>> m_arrivals;
    std::multimap<TimePoint, Answer> m_answers;
};

double mostAllowed(double limit) { return 1.5 * limit * toSeconds(window) + 5; }

constexpr TimePoint begin(1s);
constexpr TimePoint end(31s);

void expectLimitKept(
    const FleetOptions& options, double limit, TimePoint since = begin, TimePoint until = end)
{
    Fleet fleet(options);
    fleet.run(begin, until);
    EXPECT_LE(static_cast<double>(fleet.mostInAnyWindow(since + contactTime, until)), mostAllowed(limit))
        << "limit " << limit << ", seed " << options.seed;
    // The other half: the endpoint gets requests while daemons have some for it.
    EXPECT_GE(static_cast<double>(fleet.arrivals(since + contactTime, until)),
        0.5 * limit * toSeconds(until - since - contactTime))
        << "limit " << limit << ", seed " << options.seed;
}

TEST(SharedLimit, RejectionWithoutTheLimitEndedItForAllDaemons)
{
    for (const double limit : { 0.5, 2.0, 8.0 })
        expectLimitKept({ .limit = [&](TimePoint) { return limit; }, .rejectedFraction = 0.3 }, limit);
}

TEST(SharedLimit, DaemonsThatAreNotSelectedAccumulatedWithoutAnswers)
{
    for (const double limit : { 0.3, 0.5, 2.0 })
        expectLimitKept(
            { .limit = [&](TimePoint) { return limit; },
                .headDelay = [](Random&, TimePoint now) { return now < TimePoint(6s) ? 50ms : 10min; } },
            limit, begin, TimePoint(180s));
}

TEST(SharedLimit, SlowAnswersRaisedALimitThatHadFallen)
{
    for (uint64_t seed = 1; seed <= 3; ++seed)
        expectLimitKept(
            { .seed = seed,
                .limit = [](TimePoint now) { return now < TimePoint(10s) ? 30.0 : 1.0; },
                .headDelay
                = [](Random& random, TimePoint) { return fromSeconds(0.05 + 12 * random.fraction()); } },
            1, TimePoint(10s));
}

TEST(SharedLimit, DaemonsThatLoseSightOfEachOtherForAMomentTookTheWholeRate)
{
    for (const double limit : { 0.5, 2.0, 8.0 }) {
        expectLimitKept({ .limit = [&](TimePoint) { return limit; },
                            .hears =
                                [](size_t to, size_t from, TimePoint now) {
                                    const auto second = now.time_since_epoch() / 1s;
                                    return (to * 31 + from * 17 + static_cast<size_t>(second) * 7) % 5 > 1;
                                } },
            limit);
    }
}

TEST(SharedLimit, DaemonsThatDoNotHearSomeOthersInOneDirectionShareTheRate)
{
    for (const double limit : { 0.5, 2.0, 8.0 }) {
        expectLimitKept(
            { .limit = [&](TimePoint) { return limit; },
                .hears = [](size_t to, size_t from, TimePoint) { return (to * 31 + from * 17) % 4 != 0; } },
            limit);
    }
}

TEST(SharedLimit, RaisedOrEndedLimitIsUsed)
{
    Fleet fleet({ .limit = [](TimePoint now) -> std::optional<double> {
        return now < TimePoint(8s) ? std::optional(1.0)
            : now < TimePoint(16s) ? std::optional(8.0)
                                   : std::nullopt;
    } });
    fleet.run(begin, TimePoint(24s));
    EXPECT_GE(fleet.arrivals(TimePoint(11s), TimePoint(16s)), 20U);
    EXPECT_GE(fleet.arrivals(TimePoint(19s), TimePoint(24s)), 200U);
}

} // namespace
} // namespace lentilbay::edge
