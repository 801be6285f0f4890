// A large fleet in virtual time whose daemons know each other's loads late: compares the division of slots
// among the daemons with the headroom that was required at remote endpoints before.
#include "lentilbay/Edge/EndpointRegistry.h"
#include "lentilbay/Policy/RequestAttempts.h"
#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <gtest/gtest.h>
#include <iostream>
#include <numeric>
#include <queue>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

constexpr size_t daemonCount = 85;
constexpr size_t endpointCount = 90;
constexpr size_t dataCentreCount = 6;
constexpr uint32_t slots = 8;
constexpr std::array speeds { 0.55, 1.0, 2.8 };
constexpr Duration heartbeatTick = 200ms;
/// The age of loads in ticks: 0.2 to 0.4 s of the own data centre, and 0.6 to 0.8 s of others.
constexpr size_t ownDataCentreAge = 1;
constexpr size_t otherDataCentreAge = 3;
constexpr TimePoint startAt(10s);
constexpr TimePoint measuredFrom(13s);
constexpr TimePoint endAt(21s);
constexpr Duration objective = 600ms;
constexpr Duration timeout = 900ms;
/// Of an average request at an endpoint of speed 1.
constexpr double firstEventSeconds = 0.06;
constexpr double answerSeconds = 0.49;

const ServiceId service("s");

std::string dataCentreOf(size_t i) { return fmt::format("dc-{}", i % dataCentreCount); }
std::string endpointName(size_t i) { return fmt::format("engine-{}", i); }
double speedOf(size_t endpoint) { return speeds.at(endpoint / dataCentreCount % speeds.size()); }

struct Result {
    size_t arrived = 0;
    size_t served = 0;
    size_t rejections = 0;
    size_t inTime = 0;
    size_t inOwnDataCentre = 0;
    /// The time that slots of the busiest endpoint were taken, divided by the mean.
    double busiestToMean = 0;

    double rejectionsPerServed() const
    {
        return static_cast<double>(rejections) / static_cast<double>(served);
    }
    double shareInTime() const { return static_cast<double>(inTime) / static_cast<double>(arrived); }
    double shareInOwnDataCentre() const
    {
        return static_cast<double>(inOwnDataCentre) / static_cast<double>(served);
    }
};

class Fleet {
public:
    /// @param load the arriving work divided by what the endpoints can process
    Fleet(bool dividesSlots, double load, uint64_t seed)
        : m_random(seed)
    {
        Topology topology;
        std::vector<SlotAssignment::Daemon> all;
        for (size_t i = 0; i < dataCentreCount; ++i)
            topology.regions[DataCentreId(dataCentreOf(i))] = RegionId(fmt::format("region-{}", i / 2));
        for (size_t k = 0; k < endpointCount; ++k)
            m_indexes[hashOf(endpointName(k))] = k;
        for (size_t i = 0; i < daemonCount; ++i)
            all.push_back({ .name = fmt::format("edge-{}", i), .dataCentre = DataCentreId(dataCentreOf(i)) });
        double demand = 0;
        for (size_t i = 0; i < daemonCount; ++i) {
            topology.ownDataCentre = all[i].dataCentre;
            m_daemons.push_back(std::make_unique<Daemon>(topology, seed * 100 + i));
            auto& daemon = *m_daemons.back();
            for (size_t k = 0; k < endpointCount; ++k)
                daemon.registry.list({ .id = EndpointId(endpointName(k)),
                    .service = service,
                    .host = "10.0.0.1",
                    .port = 80,
                    .dataCentre = DataCentreId(dataCentreOf(k)),
                    .slots = slots });
            daemon.registry.setHeadroom({ .sameRegion = 2, .otherRegion = 3 });
            if (dividesSlots)
                daemon.registry.assignSlots(all[i].name, all);
            // Daemons differ by a factor of up to 10, data centres by 2.7.
            daemon.rate = (0.3 + 3.3 * m_random.fraction() * m_random.fraction())
                * (0.6 + static_cast<double>(i % dataCentreCount) / (dataCentreCount - 1));
            demand += daemon.rate;
        }
        double capacity = 0;
        for (size_t k = 0; k < endpointCount; ++k)
            capacity += slots * speedOf(k) / (firstEventSeconds + answerSeconds);
        for (size_t i = 0; i < daemonCount; ++i) {
            m_daemons[i]->rate *= load * capacity / demand;
            after(Duration(m_random.below(heartbeatTick.count())), [this, i] { exchangeLoads(i); });
            scheduleArrival(i);
        }
    }

    Result run()
    {
        while (m_events.top().at < endAt) {
            auto it = m_events.top();
            m_events.pop();
            m_now = it.at;
            it.action();
        }
        const double sum = std::accumulate(m_work.begin(), m_work.end(), 0.0);
        m_result.busiestToMean = *std::ranges::max_element(m_work) * endpointCount / sum;
        return m_result;
    }

private:
    struct Daemon {
        Daemon(const Topology& topology, uint64_t seed)
            : registry(topology, seed)
        {
        }
        EndpointRegistry registry;
        WindowedRetryBudget budget;
        /// Requests a second.
        double rate = 0;
        /// Its requests in flight at the last ticks, the newest first.
        std::deque<std::vector<uint16_t>> loads;
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
        TimePoint arrivedAt {};
        /// Relative to an average one.
        double size = 1;
        RequestAttempts attempts;
    };

    void after(Duration time, std::function<void()> action)
    {
        m_events.push({ .at = m_now + time, .number = ++m_numbers, .action = std::move(action) });
    }
    size_t counted() const { return m_now >= measuredFrom ? 1 : 0; }

    void scheduleArrival(size_t i)
    {
        after(fromSeconds(-std::log(1 - m_random.fraction()) / m_daemons[i]->rate), [this, i] {
            m_result.arrived += counted();
            m_daemons[i]->budget.request(m_now);
            send({ .daemon = i, .arrivedAt = m_now, .size = 0.5 + m_random.fraction() });
            scheduleArrival(i);
        });
    }

    void exchangeLoads(size_t i)
    {
        after(heartbeatTick, [this, i] { exchangeLoads(i); });
        auto& daemon = *m_daemons[i];
        auto& own = daemon.loads.emplace_front(endpointCount);
        for (const auto& [id, it] : daemon.registry.all())
            own[m_indexes.at(it->hash())] = static_cast<uint16_t>(it->ownInFlight());
        if (daemon.loads.size() > otherDataCentreAge + 1)
            daemon.loads.pop_back();
        std::vector<PeerLoad> sums(endpointCount);
        for (size_t k = 0; k < daemonCount; ++k) {
            const auto& known = m_daemons[k]->loads;
            if (k == i || known.empty())
                continue;
            const auto age
                = k % dataCentreCount == i % dataCentreCount ? ownDataCentreAge : otherDataCentreAge;
            const auto& loads = known[std::min(age, known.size() - 1)];
            for (size_t endpoint = 0; endpoint < endpointCount; ++endpoint)
                sums[endpoint].inFlight = static_cast<uint16_t>(sums[endpoint].inFlight + loads[endpoint]);
        }
        for (const auto& [hash, endpoint] : m_indexes)
            sums[endpoint].endpoint = hash;
        daemon.registry.updatePeerLoads("fleet", sums, m_now);
    }

    static Duration roundTrip(size_t daemon, size_t endpoint)
    {
        const auto from = daemon % dataCentreCount;
        const auto to = endpoint % dataCentreCount;
        return from == to ? 2ms : from / 2 == to / 2 ? 6ms : 30ms;
    }

    void send(const Request& given)
    {
        auto request = given;
        auto& registry = m_daemons[request.daemon]->registry;
        const Work work { .isStream = true, .promptTokens = 400, .answerTokens = 100 * request.size };
        const auto state = registry.choose({ .service = service,
                                               .work = work,
                                               .objectiveAt = request.arrivedAt + objective,
                                               .mayWait = m_now - request.arrivedAt < objective / 5,
                                               .tried = request.attempts.tried() },
            m_now);
        if (!state) {
            if (m_now - request.arrivedAt < timeout)
                after(20ms, [this, request] { send(request); });
            return;
        }
        const auto endpoint = m_indexes.at(state->hash());
        const auto delay = roundTrip(request.daemon, endpoint);
        state->recordSend(work, m_now);
        request.attempts.begin(state->entry().id);
        request.attempts.recordArrival();
        if (m_inFlight.at(endpoint) >= slots) {
            m_result.rejections += counted();
            after(delay, [this, state, work, request] {
                state->recordEnd(work, SendOutcome::Full, false, m_now);
                rejected(request);
            });
            return;
        }
        ++m_inFlight.at(endpoint);
        const auto first = delay + fromSeconds(firstEventSeconds / speedOf(endpoint));
        const auto rest = fromSeconds(request.size * answerSeconds / speedOf(endpoint));
        const bool isCounted = counted() > 0;
        if (isCounted)
            m_work.at(endpoint) += toSeconds(first + rest);
        after(first, [this, state, work, first, isCounted, at = request.arrivedAt] {
            state->recordFirstEvent(work, first, m_now);
            m_result.inTime += isCounted && m_now - at <= objective ? 1 : 0;
        });
        const bool isNear = endpoint % dataCentreCount == request.daemon % dataCentreCount;
        after(first + rest, [this, state, work, rest, endpoint, isNear] {
            --m_inFlight.at(endpoint);
            m_result.served += counted();
            m_result.inOwnDataCentre += isNear ? counted() : 0;
            state->recordProgress(work.answerTokens, rest, m_now);
            state->recordEnd(work, SendOutcome::Succeeded, true, m_now);
        });
    }

    /// As EdgeRequest does; a request that may not be sent again is refused.
    void rejected(Request request)
    {
        auto& daemon = *m_daemons[request.daemon];
        request.attempts.recordRejection();
        if (!daemon.registry.hasCandidate(service, request.attempts.tried()))
            request.attempts.reconsiderRejections();
        if (m_now - request.arrivedAt < timeout
            && request.attempts.maySendAgain(
                { .budget = { .ratio = 0.16, .slack = 0.5 } }, daemon.budget, m_now))
            send(request);
    }

    Random m_random;
    TimePoint m_now = startAt;
    uint64_t m_numbers = 0;
    std::priority_queue<Event> m_events;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::map<uint64_t, size_t> m_indexes;
    std::array<uint32_t, endpointCount> m_inFlight {};
    std::array<double, endpointCount> m_work {};
    Result m_result;
};

class EndpointCapacityFleet : public testing::TestWithParam<std::pair<double, uint64_t>> { };

TEST_P(EndpointCapacityFleet, DaemonsChoseTheSameEndpoints)
{
    const auto [load, seed] = GetParam();
    const auto former = Fleet(false, load, seed).run();
    const auto divided = Fleet(true, load, seed).run();
    for (const auto& [name, it] : { std::pair { "headroom", former }, std::pair { "divided", divided } })
        std::cout << fmt::format("load {} seed {} {}: {:.2f} rejections for each request served, {:.3f} in "
                                 "time, busiest to mean {:.2f}, {:.2f} in the own data centre\n",
            load, seed, name, it.rejectionsPerServed(), it.shareInTime(), it.busiestToMean,
            it.shareInOwnDataCentre());
    EXPECT_LT(divided.busiestToMean, former.busiestToMean);
    if (load < 0.5) {
        EXPECT_GE(divided.shareInTime(), former.shareInTime() - 0.005);
        EXPECT_LE(divided.rejectionsPerServed(), former.rejectionsPerServed() + 0.005);
        EXPECT_GE(divided.shareInOwnDataCentre(), former.shareInOwnDataCentre() - 0.05)
            << "a calm fleet needs no endpoints elsewhere";
    } else {
        EXPECT_GT(divided.shareInTime(), former.shareInTime() + 0.03);
        EXPECT_LT(divided.rejectionsPerServed(), former.rejectionsPerServed() * 0.75);
    }
}

INSTANTIATE_TEST_SUITE_P(Loads, EndpointCapacityFleet,
    testing::Values(std::pair { 0.1, 1 }, std::pair { 0.7, 1 }, std::pair { 0.7, 2 }, std::pair { 1.0, 1 },
        std::pair { 1.3, 1 }));

} // namespace
} // namespace lentilbay::edge
