// Simulates daemons, endpoints and callers.
#include "QueueFleet.h"

#include "FormerWaitingQueue.h"
#include "lentilbay/Edge/WaitingQueue.h"
#include "lentilbay/Policy/RequestAttempts.h"
#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <tuple>
#include <unordered_map>

namespace lentilbay::bench {
namespace {

using namespace edge;
using namespace std::chrono_literals;

constexpr size_t dataCentres = 6;
constexpr uint32_t slotsPerEndpoint = 8;
constexpr std::array speeds { 0.55, 1.0, 2.8 };
constexpr Duration heartbeatTick = 200ms;
/// The age of loads in ticks in a large fleet: 0.2 to 0.4 s of the own data centre, and 0.6 to 0.8 s of
/// others. In a small one they are up to one tick old.
constexpr size_t ownDataCentreAge = 1;
constexpr size_t otherDataCentreAge = 3;
/// As in the daemon.
constexpr Duration pollPeriod = 40ms;
constexpr size_t smallFleetSize = 16;
constexpr Duration retryAfterRejections = 600ms;
constexpr TimePoint startAt(10s);
constexpr Duration warmUp = 4s;

/// Of an endpoint of speed 1; the priors of EndpointState.
constexpr double secondsPerToken = 0.0045;
constexpr double secondsPerPromptToken = secondsPerToken / 370;
constexpr double startupSeconds = secondsPerToken * 10;

struct Size {
    double share = 0;
    double promptTokens = 0;
    double answerTokens = 0;
};
/// Each size varies by half.
constexpr std::array sizes { Size { 0.5, 500, 40 }, Size { 0.35, 2'000, 100 }, Size { 0.15, 6'000, 250 } };

struct RankOptions {
    double share = 0;
    Duration objective {};
};
constexpr std::array<RankOptions, queueRanks> rankOptions { RankOptions { 0.25, 600ms },
    RankOptions { 0.35, 800ms }, RankOptions { 0.4, 1500ms } };
constexpr Duration minPatience = 2s;
constexpr Duration maxPatience = 6s;

const ServiceId service("s");

double workOf(const Work& work)
{
    return startupSeconds + work.promptTokens * secondsPerPromptToken + work.answerTokens * secondsPerToken;
}

std::string nameOf(const char* kind, size_t i) { return std::string(kind) + "-" + std::to_string(i); }

/// Either queue.
class AnyQueue {
public:
    AnyQueue(bool isFormer, EndpointRegistry& registry)
        : m_isFormer(isFormer)
        , m_former(registry)
        , m_queue(registry)
    {
    }
    void setOptions(const WaitingQueueOptions& options)
    {
        m_former.setOptions(options);
        m_queue.setOptions(options);
    }
    void push(WaitingRequest request)
    {
        m_isFormer ? m_former.push(std::move(request)) : m_queue.push(std::move(request));
    }
    WaitingQueue::Decisions decide(TimePoint now)
    {
        return m_isFormer ? m_former.decide(now) : m_queue.decide(now);
    }
    size_t size() const { return m_isFormer ? m_former.size() : m_queue.size(); }

private:
    bool m_isFormer;
    FormerWaitingQueue m_former;
    WaitingQueue m_queue;
};

class Fleet {
public:
    explicit Fleet(const FleetOptions& options)
        : m_options(options)
        , m_random(options.seed)
        , m_inFlight(options.endpoints)
    {
        Topology topology;
        std::vector<SlotAssignment::Daemon> all;
        for (size_t i = 0; i < dataCentres; ++i)
            topology.regions[DataCentreId(nameOf("dc", i))] = RegionId(nameOf("region", i / 2));
        for (size_t k = 0; k < options.endpoints; ++k)
            m_indexes[hashOf(nameOf("engine", k))] = k;
        for (size_t i = 0; i < options.daemons; ++i)
            all.push_back(
                { .name = nameOf("edge", i), .dataCentre = DataCentreId(nameOf("dc", i % dataCentres)) });
        const bool isLarge = options.daemons > smallFleetSize;
        double demand = 0;
        for (size_t i = 0; i < options.daemons; ++i) {
            topology.ownDataCentre = all[i].dataCentre;
            auto& daemon = *m_daemons.emplace_back(
                std::make_unique<Daemon>(options.isFormer, topology, options.seed * 100 + i));
            for (size_t k = 0; k < options.endpoints; ++k)
                daemon.registry.list({ .id = EndpointId(nameOf("engine", k)),
                    .service = service,
                    .host = "10.0.0.1",
                    .port = 80,
                    .dataCentre = DataCentreId(nameOf("dc", k % dataCentres)),
                    .slots = slotsPerEndpoint });
            daemon.registry.setHeadroom(
                isLarge ? Headroom { .sameRegion = 2, .otherRegion = 3 } : Headroom {});
            if (isLarge)
                daemon.registry.assignSlots(all[i].name, all);
            daemon.queue.setOptions({ .slotShare = 1.0 / static_cast<double>(options.daemons) });
            daemon.rate = options.isUneven ? (0.3 + 3.3 * m_random.fraction() * m_random.fraction())
                    * (0.6 + static_cast<double>(i % dataCentres) / (dataCentres - 1))
                                           : 1;
            demand += daemon.rate;
        }
        double meanWork = 0;
        for (const auto& it : sizes)
            meanWork
                += it.share * workOf({ .promptTokens = it.promptTokens, .answerTokens = it.answerTokens });
        for (size_t k = 0; k < options.endpoints; ++k)
            m_capacity += slotsPerEndpoint * speedOf(k);
        for (size_t i = 0; i < options.daemons; ++i) {
            m_daemons[i]->rate *= options.load * m_capacity / meanWork / demand;
            after(Duration(m_random.below(heartbeatTick.count())), [this, i] { exchangeLoads(i); });
            after(Duration(m_random.below(pollPeriod.count())), [this, i] { poll(i); });
            scheduleArrival(i);
        }
    }

    FleetResult run()
    {
        const auto arrivalsEnd = startAt + warmUp + m_options.length;
        // Arrivals go on until those of the measured period, and their retries, have ended.
        while (m_events.top().at < arrivalsEnd + maxPatience) {
            auto it = m_events.top();
            m_events.pop();
            m_now = it.at;
            it.action();
        }
        m_result.utilisation = m_usedWork / (m_capacity * toSeconds(m_options.length));
        return m_result;
    }

private:
    struct Daemon {
        Daemon(bool isFormer, const Topology& topology, uint64_t seed)
            : registry(topology, seed)
            , queue(isFormer, registry)
        {
        }
        EndpointRegistry registry;
        AnyQueue queue;
        WindowedRetryBudget budget;
        /// Requests a second.
        double rate = 0;
        /// Its requests in flight at the last ticks, the newest first.
        std::deque<std::vector<uint16_t>> loads;
        bool isDeciding = false;
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
        uint64_t number = 0;
        size_t daemon = 0;
        int rank = 0;
        size_t size = 0;
        Work work;
        TimePoint arrivedAt {};
        TimePoint expiresAt {};
        bool isRetry = false;
        bool isCounted = false;
        RequestAttempts attempts;

        Duration objective() const { return rankOptions.at(rank).objective; }
    };

    static double speedOf(size_t endpoint) { return speeds.at(endpoint / dataCentres % speeds.size()); }

    void after(Duration time, std::function<void()> action)
    {
        m_events.push({ .at = m_now + time, .number = ++m_numbers, .action = std::move(action) });
    }
    RankResult& resultOf(const Request& request) { return m_result.ranks.at(request.rank); }

    void scheduleArrival(size_t i)
    {
        after(fromSeconds(-std::log(1 - m_random.fraction()) / m_daemons[i]->rate), [this, i] {
            arrive(newRequest(i));
            scheduleArrival(i);
        });
    }

    Request newRequest(size_t daemon)
    {
        Request out { .number = ++m_numbers, .daemon = daemon, .arrivedAt = m_now };
        double at = m_random.fraction();
        while (out.rank < queueRanks - 1 && at >= rankOptions.at(out.rank).share)
            at -= rankOptions.at(out.rank++).share;
        at = m_random.fraction();
        while (out.size < sizes.size() - 1 && at >= sizes.at(out.size).share)
            at -= sizes.at(out.size++).share;
        const double factor = 0.5 + m_random.fraction();
        out.work = { .isStream = true,
            .promptTokens = sizes.at(out.size).promptTokens * factor,
            .answerTokens = sizes.at(out.size).answerTokens * factor };
        out.expiresAt = m_now + minPatience + Duration(m_random.below((maxPatience - minPatience).count()));
        out.isCounted = m_now >= startAt + warmUp && m_now < startAt + warmUp + m_options.length;
        resultOf(out).arrived += out.isCounted ? 1 : 0;
        resultOf(out).arrivedBySize.at(out.size) += out.isCounted ? 1 : 0;
        return out;
    }

    void arrive(const Request& request)
    {
        m_daemons[request.daemon]->budget.request(m_now);
        push(request);
        decide(request.daemon);
    }

    void push(const Request& request)
    {
        m_requests[request.number] = request;
        m_daemons[request.daemon]->queue.push({ .number = request.number,
            .rank = request.rank,
            .query = { .service = service,
                .work = request.work,
                .objectiveAt = request.arrivedAt + request.objective(),
                .expiresAt = request.expiresAt,
                .tried = request.attempts.tried() },
            .arrivedAt = request.arrivedAt,
            .expiresAt = request.expiresAt });
    }

    void poll(size_t i)
    {
        after(pollPeriod, [this, i] { poll(i); });
        if (m_daemons[i]->queue.size() > 0)
            decide(i);
    }

    void decide(size_t i)
    {
        auto decisions = m_daemons[i]->queue.decide(m_now);
        for (auto& it : decisions.started) {
            auto request = std::move(m_requests.extract(it.number).mapped());
            request.work.cachedTokens = it.cachedTokens;
            send(std::move(request), it.endpoint);
        }
        for (const auto& it : decisions.rejected)
            refuse(m_requests.extract(it.number).mapped(), it.retryAfter);
    }

    void refuse(const Request& request, Duration retryAfter)
    {
        auto& result = resultOf(request);
        const auto held = m_now - request.arrivedAt;
        if (request.isCounted) {
            ++result.refusals;
            result.longestHold = std::max(result.longestHold, held);
            result.heldRefusals += held > request.objective() / 8 ? 1 : 0;
            m_result.refusedWhileLowerServed
                += request.rank == 0 && m_now - m_lowerSentAt < std::chrono::seconds(1) ? 1 : 0;
        }
        const auto left = request.expiresAt - m_now;
        if (request.isRetry || left <= Duration::zero()) {
            result.refused += request.isCounted ? 1 : 0;
            return;
        }
        const auto base = retryAfter > Duration::zero() ? retryAfter : retryAfterRejections;
        const auto wait
            = std::min<Duration>(fromSeconds(toSeconds(base) * (1 + 0.1 * m_random.fraction())), left / 3);
        after(wait, [this, request] {
            auto retry = request;
            retry.number = ++m_numbers;
            retry.isRetry = true;
            retry.daemon = m_random.below(m_daemons.size());
            retry.arrivedAt = m_now;
            retry.attempts = {};
            resultOf(retry).retries += retry.isCounted ? 1 : 0;
            arrive(retry);
        });
    }

    static Duration roundTrip(size_t daemon, size_t endpoint)
    {
        const auto from = daemon % dataCentres;
        const auto to = endpoint % dataCentres;
        return from == to ? 2ms : from / 2 == to / 2 ? 6ms : 30ms;
    }

    void send(Request request, const std::shared_ptr<EndpointState>& state)
    {
        const auto endpoint = m_indexes.at(state->hash());
        const auto delay = roundTrip(request.daemon, endpoint);
        request.attempts.begin(state->entry().id);
        request.attempts.recordArrival();
        if (m_inFlight.at(endpoint) >= slotsPerEndpoint) {
            m_result.rejectedSends += request.isCounted ? 1 : 0;
            after(delay, [this, state, request] {
                state->recordEnd(request.work, SendOutcome::Full, false, m_now);
                rejected(request);
            });
            return;
        }
        ++m_inFlight.at(endpoint);
        if (request.rank > 0)
            m_lowerSentAt = m_now;
        const double speed = speedOf(endpoint);
        const auto first = delay
            + fromSeconds((startupSeconds + request.work.promptTokens * secondsPerPromptToken) / speed);
        const auto rest = fromSeconds(request.work.answerTokens * secondsPerToken / speed);
        if (m_now >= startAt + warmUp && m_now < startAt + warmUp + m_options.length)
            m_usedWork += toSeconds(first + rest) * speed;
        after(first, [this, state, request, first] {
            state->recordFirstEvent(request.work, first, m_now);
            if (!request.isCounted)
                return;
            auto& result = resultOf(request);
            const bool isInTime = m_now - request.arrivedAt <= request.objective();
            (isInTime ? result.inTime : result.late) += 1;
            result.inTimeBySize.at(request.size) += isInTime ? 1 : 0;
            result.retriesInTime += isInTime && request.isRetry ? 1 : 0;
        });
        after(first + rest, [this, state, request, rest, endpoint] {
            --m_inFlight.at(endpoint);
            state->recordProgress(request.work.answerTokens, rest, m_now);
            state->recordEnd(request.work, SendOutcome::Succeeded, true, m_now);
            decide(request.daemon);
        });
    }

    /// As EdgeRequest does.
    void rejected(Request request)
    {
        auto& daemon = *m_daemons[request.daemon];
        request.attempts.recordRejection();
        bool hasAlternative = daemon.registry.hasCandidate(service, request.attempts.tried());
        if (!hasAlternative)
            hasAlternative = request.attempts.reconsiderRejections();
        if (m_now < request.expiresAt && hasAlternative
            && request.attempts.maySendAgain(
                { .budget = { .ratio = 0.16, .slack = 0.5 } }, daemon.budget, m_now)) {
            push(request);
            decide(request.daemon);
        } else {
            refuse(request, retryAfterRejections);
        }
    }

    void exchangeLoads(size_t i)
    {
        after(heartbeatTick, [this, i] { exchangeLoads(i); });
        auto& daemon = *m_daemons[i];
        auto& own = daemon.loads.emplace_front(m_options.endpoints);
        for (const auto& [id, it] : daemon.registry.all())
            own[m_indexes.at(it->hash())] = static_cast<uint16_t>(it->ownInFlight());
        if (daemon.loads.size() > otherDataCentreAge + 1)
            daemon.loads.pop_back();
        std::vector<PeerLoad> sums(m_options.endpoints);
        for (size_t k = 0; k < m_daemons.size(); ++k) {
            const auto& known = m_daemons[k]->loads;
            if (k == i || known.empty())
                continue;
            const bool isNear = k % dataCentres == i % dataCentres;
            const auto age = m_daemons.size() <= smallFleetSize ? 0
                : isNear                                        ? ownDataCentreAge
                                                                : otherDataCentreAge;
            const auto& loads = known[std::min(age, known.size() - 1)];
            for (size_t endpoint = 0; endpoint < m_options.endpoints; ++endpoint)
                sums[endpoint].inFlight = static_cast<uint16_t>(sums[endpoint].inFlight + loads[endpoint]);
        }
        for (const auto& [hash, endpoint] : m_indexes)
            sums[endpoint].endpoint = hash;
        daemon.registry.updatePeerLoads("fleet", sums, m_now);
    }

    FleetOptions m_options;
    Random m_random;
    TimePoint m_now = startAt;
    uint64_t m_numbers = 0;
    std::priority_queue<Event> m_events;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::map<uint64_t, size_t> m_indexes;
    std::vector<uint32_t> m_inFlight;
    std::unordered_map<uint64_t, Request> m_requests;
    /// In seconds of a slot of speed 1 in a second.
    double m_capacity = 0;
    double m_usedWork = 0;
    /// When a request of a lower rank than the highest was last sent by any daemon.
    TimePoint m_lowerSentAt {};
    FleetResult m_result;
};

} // namespace

FleetResult runFleet(const FleetOptions& options) { return Fleet(options).run(); }

} // namespace lentilbay::bench
