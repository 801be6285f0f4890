// Tests the effect of the prompt cache estimate on a fleet in virtual time.
//
// Endpoints process prompts one after the other, produce the answers in parallel, and cache parts of prompts
// by least recent use. Each daemon has its own registry and queue and learns the loads of the others late.
#include "lentilbay/Edge/WaitingQueue.h"
#include "lentilbay/Support/Random.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <gtest/gtest.h>
#include <iostream>
#include <list>
#include <map>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

const ServiceId service("s");
constexpr TimePoint start(1s);
constexpr double promptTokensPerSecond = 100'000;
constexpr double answerTokens = 100;
constexpr double secondsPerAnswerToken = 0.0045;
constexpr uint32_t slots = 8;
constexpr Duration objective = 250ms;
constexpr Duration heartbeatPeriod = 250ms;

struct Workload {
    size_t daemons = 8;
    size_t endpoints = 20;
    size_t dataCentres = 1;
    /// The part that all prompts share, and the one that those of a subject share.
    uint32_t commonTokens = 512;
    uint32_t subjectTokens = 4870;
    uint64_t subjects = 117;
    /// 0.75 of what the endpoints can process without a cache.
    double requestsPerSecond = 313;
    Duration duration = 60s;
    bool usesEstimate = false;
    /// Tokens that the cache of an endpoint has room for.
    double memory = 400'000;
    uint64_t seed = 1;
};

struct Outcome {
    double promptTokens = 0;
    double foundTokens = 0;
    double expectedTokens = 0;
    /// Of the expected tokens, those that were found.
    double confirmedTokens = 0;
    double firstEventSeconds = 0;
    size_t requests = 0;
    size_t inTime = 0;
    /// Requests that were refused, or that an endpoint had no slot for when they arrived.
    size_t refused = 0;
    size_t full = 0;
    /// Requests at the busiest endpoint, relative to the mean of those of its speed.
    double busiest = 0;
    /// The longest time to the first event of 99 in 100.
    double slowestSeconds = 0;

    double foundShare() const { return foundTokens / promptTokens; }
    double meanFirstEvent() const { return firstEventSeconds / static_cast<double>(requests); }
    double inTimeShare() const
    {
        return static_cast<double>(inTime) / static_cast<double>(requests + refused);
    }
};

/// The mean of several runs, with the sums of what is counted.
struct Summary {
    std::vector<Outcome> runs;

    double mean(auto value) const
    {
        double out = 0;
        for (const auto& it : runs)
            out += value(it) / static_cast<double>(runs.size());
        return out;
    }
    double foundShare() const
    {
        return mean([](const auto& it) { return it.foundShare(); });
    }
    double meanFirstEvent() const
    {
        return mean([](const auto& it) { return it.meanFirstEvent(); });
    }
    double inTimeShare() const
    {
        return mean([](const auto& it) { return it.inTimeShare(); });
    }
    double slowestSeconds() const
    {
        return mean([](const auto& it) { return it.slowestSeconds; });
    }
    double busiest() const
    {
        return mean([](const auto& it) { return it.busiest; });
    }
    double full() const
    {
        return mean([](const auto& it) { return static_cast<double>(it.full); });
    }
    double expectedShare() const
    {
        return mean([](const auto& it) { return it.expectedTokens / it.promptTokens; });
    }
    double confirmedShare() const
    {
        return mean([](const auto& it) {
            return it.expectedTokens > 0 ? it.confirmedTokens / it.expectedTokens : 0;
        });
    }
};

std::ostream& operator<<(std::ostream& out, const Summary& it)
{
    return out << "found cached " << 100 * it.foundShare() << "% of the prompt tokens, expected "
               << 100 * it.expectedShare() << "%, of these found " << 100 * it.confirmedShare()
               << "%; first event after " << 1000 * it.meanFirstEvent() << " ms, 99 in 100 within "
               << 1000 * it.slowestSeconds() << " ms; in time " << 100 * it.inTimeShare() << "%; no slot "
               << it.full() << ", busiest " << it.busiest();
}

/// A cache of prefixes of whole parts.
class EngineCache {
public:
    /// Returns the tokens of the prefix that is cached, and caches the prompt.
    double use(const std::vector<PromptPrefix>& prompt, double memory)
    {
        double found = 0;
        double before = 0;
        bool isFound = true;
        std::vector<std::pair<uint64_t, double>> parts;
        for (const auto& it : prompt) {
            const auto known = std::ranges::find(m_parts, it.hash, &std::pair<uint64_t, double>::first);
            isFound = isFound && known != m_parts.end();
            if (isFound)
                found = it.tokens;
            if (known != m_parts.end()) {
                m_tokens -= known->second;
                m_parts.erase(known);
            }
            parts.emplace_back(it.hash, it.tokens - before);
            before = it.tokens;
        }
        // The end of a prompt is evicted before its beginning.
        for (auto it = parts.rbegin(); it != parts.rend(); ++it) {
            m_parts.push_front(*it);
            m_tokens += it->second;
        }
        while (m_tokens > memory) {
            m_tokens -= m_parts.back().second;
            m_parts.pop_back();
        }
        return found;
    }

private:
    /// The most recently used first.
    std::list<std::pair<uint64_t, double>> m_parts;
    double m_tokens = 0;
};

class Fleet {
public:
    explicit Fleet(const Workload& workload)
        : m_workload(workload)
        , m_random(workload.seed)
        , m_engines(workload.endpoints)
    {
        Topology topology;
        for (size_t i = 0; i < workload.dataCentres; ++i)
            topology.regions[dataCentreOf(i)] = RegionId("r");
        constexpr std::array<double, 3> speeds { 0.55, 1.0, 2.8 };
        for (size_t i = 0; i < workload.endpoints; ++i)
            m_engines[i].speed = speeds[i % speeds.size()];
        for (size_t d = 0; d < workload.daemons; ++d) {
            topology.ownDataCentre = dataCentreOf(d);
            auto& daemon = *m_daemons.emplace_back(std::make_unique<Daemon>(topology, d + 1));
            for (size_t i = 0; i < workload.endpoints; ++i)
                daemon.registry.list({ .id = idOf(i),
                    .service = service,
                    .host = "10.0.0.1",
                    .port = 80,
                    .dataCentre = dataCentreOf(i / speeds.size()),
                    .slots = slots,
                    .startedAtMilliseconds = 1 });
            daemon.queue.setOptions({ .slotShare = 1.0 / static_cast<double>(workload.daemons) });
            if (workload.daemons > 20)
                daemon.registry.setHeadroom({ .sameRegion = 2, .otherRegion = 3 });
        }
    }

    Outcome run()
    {
        const auto end = start + m_workload.duration;
        for (auto at = start; at < end;) {
            at += fromSeconds(-std::log(1 - m_random.fraction()) / m_workload.requestsPerSecond);
            m_events.emplace(at, [this](TimePoint now) { arrive(now); });
        }
        for (size_t d = 0; d < m_daemons.size(); ++d) {
            for (auto at = start + heartbeatPeriod * d / m_daemons.size(); at < end; at += heartbeatPeriod)
                m_events.emplace(at, [this, d](TimePoint now) { sendHeartbeat(d, now); });
        }
        while (!m_events.empty()) {
            auto event = m_events.extract(m_events.begin());
            event.mapped()(event.key());
        }
        std::ranges::sort(m_firstEvents);
        if (!m_firstEvents.empty())
            m_outcome.slowestSeconds = m_firstEvents[m_firstEvents.size() * 99 / 100];
        std::map<double, std::pair<double, size_t>> bySpeed;
        for (const auto& it : m_engines) {
            bySpeed[it.speed].first += static_cast<double>(it.requests);
            ++bySpeed[it.speed].second;
        }
        for (const auto& it : m_engines) {
            const auto& [sum, n] = bySpeed[it.speed];
            m_outcome.busiest
                = std::max(m_outcome.busiest, static_cast<double>(it.requests * n) / std::max(1.0, sum));
        }
        return m_outcome;
    }

private:
    struct Engine {
        double speed = 1;
        EngineCache cache;
        TimePoint freeAt {};
        uint32_t running = 0;
        size_t requests = 0;
    };
    struct Daemon {
        Daemon(const Topology& topology, uint64_t seed)
            : registry(topology, seed)
            , queue(registry)
        {
        }
        EndpointRegistry registry;
        WaitingQueue queue;
    };
    struct Request {
        size_t daemon = 0;
        TimePoint arrivedAt {};
        std::shared_ptr<const std::vector<PromptPrefix>> prompt;
        Work work;
        std::vector<EndpointId> tried;
    };

    static EndpointId idOf(size_t i) { return EndpointId("e" + std::to_string(i)); }
    DataCentreId dataCentreOf(size_t i) const
    {
        return DataCentreId("d" + std::to_string(i % m_workload.dataCentres));
    }

    void arrive(TimePoint now)
    {
        const auto number = ++m_lastNumber;
        constexpr uint32_t promptTokens = 6610;
        const uint64_t subject = 1000 + m_random.below(m_workload.subjects);
        std::vector<PromptPart> shared { { 1, m_workload.commonTokens } };
        if (m_workload.subjectTokens > 0)
            shared.push_back({ subject, m_workload.subjectTokens });
        const uint32_t sharedTokens = m_workload.commonTokens + m_workload.subjectTokens;
        Request request { .daemon = m_random.below(m_daemons.size()),
            .arrivedAt = now,
            .prompt = std::make_shared<const std::vector<PromptPrefix>>(
                prefixesOf(shared, PromptPart { 1'000'000 + number, promptTokens - sharedTokens })),
            .work = { .isStream = true, .promptTokens = promptTokens, .answerTokens = answerTokens } };
        const auto daemon = request.daemon;
        const auto& it = m_requests.emplace(number, std::move(request)).first->second;
        push(number, it);
        dispatch(daemon, now);
    }

    void push(uint64_t number, const Request& request)
    {
        m_daemons[request.daemon]->queue.push({ .number = number,
            .query = { .service = service,
                .work = request.work,
                .objectiveAt = request.arrivedAt + objective,
                .prompt = m_workload.usesEstimate ? request.prompt : nullptr,
                .tried = request.tried },
            .arrivedAt = request.arrivedAt,
            .expiresAt = request.arrivedAt + 5s });
    }

    void dispatch(size_t daemon, TimePoint now)
    {
        const auto decisions = m_daemons[daemon]->queue.decide(now);
        m_outcome.refused += decisions.rejected.size();
        for (const auto& it : decisions.rejected)
            m_requests.erase(it.number);
        for (const auto& it : decisions.started)
            send(it, now);
    }

    void send(const StartedRequest& started, TimePoint now)
    {
        auto& request = m_requests.at(started.number);
        const auto endpoint = started.endpoint;
        auto& engine = m_engines[std::stoul(endpoint->entry().id.text().substr(1))];
        auto& daemon = *m_daemons[request.daemon];
        auto work = request.work;
        work.cachedTokens = started.cachedTokens;
        if (engine.running >= slots) {
            ++m_outcome.full;
            endpoint->recordEnd(work, SendOutcome::Full, false, now);
            push(started.number, request);
            m_events.emplace(now + 5ms, [this, d = request.daemon](TimePoint at) { dispatch(d, at); });
            return;
        }
        daemon.registry.recordPromptSend(*endpoint, work, m_workload.memory);
        ++engine.running;
        ++engine.requests;
        const double found = engine.cache.use(*request.prompt, m_workload.memory);
        m_outcome.promptTokens += work.promptTokens;
        m_outcome.foundTokens += found;
        m_outcome.expectedTokens += work.cachedTokens;
        m_outcome.confirmedTokens += std::min(found, work.cachedTokens);
        const double processSeconds = (work.promptTokens - found) / promptTokensPerSecond / engine.speed;
        engine.freeAt = std::max(engine.freeAt, now) + fromSeconds(processSeconds);
        constexpr double startupSeconds = 0.02;
        const auto firstEventAt = engine.freeAt + fromSeconds(startupSeconds / engine.speed);
        const auto answerTime = fromSeconds(answerTokens * secondsPerAnswerToken / engine.speed);
        m_events.emplace(
            firstEventAt, [this, number = started.number, endpoint, work, sentAt = now](TimePoint at) {
                const auto& it = m_requests.at(number);
                endpoint->recordFirstEvent(work, at - sentAt, at);
                m_daemons[it.daemon]->registry.promptCache().recordAnswer(
                    *it.prompt, endpoint->cacheOwner(), at);
                ++m_outcome.requests;
                m_outcome.firstEventSeconds += toSeconds(at - it.arrivedAt);
                m_outcome.inTime += at - it.arrivedAt <= objective;
                m_firstEvents.push_back(toSeconds(at - it.arrivedAt));
            });
        // Events arrive meanwhile; without them the endpoint would count as stalled.
        for (int i = 1; i <= 4; ++i)
            m_events.emplace(firstEventAt + answerTime * i / 4, [endpoint, answerTime](TimePoint at) {
                endpoint->recordProgress(answerTokens / 4, answerTime / 4, at);
            });
        m_events.emplace(firstEventAt + answerTime,
            [this, number = started.number, endpoint, work, &engine](TimePoint at) {
                endpoint->recordEnd(work, SendOutcome::Succeeded, true, at);
                --engine.running;
                const auto d = m_requests.at(number).daemon;
                m_requests.erase(number);
                dispatch(d, at);
            });
    }

    void sendHeartbeat(size_t from, TimePoint now)
    {
        std::vector<PeerLoad> loads;
        for (const auto& [id, it] : m_daemons[from]->registry.all()) {
            if (it->ownInFlight() > 0)
                loads.push_back(
                    { .endpoint = it->hash(), .inFlight = static_cast<uint16_t>(it->ownInFlight()) });
        }
        for (size_t d = 0; d < m_daemons.size(); ++d) {
            if (d != from)
                m_daemons[d]->registry.updatePeerLoads(std::to_string(from), loads, now);
        }
        dispatch(from, now);
    }

    Workload m_workload;
    Random m_random;
    std::vector<Engine> m_engines;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::map<uint64_t, Request> m_requests;
    uint64_t m_lastNumber = 0;
    std::multimap<TimePoint, std::function<void(TimePoint)>> m_events;
    std::vector<double> m_firstEvents;
    Outcome m_outcome;
};

struct Comparison {
    Summary without;
    Summary with;
};

Comparison compare(Workload workload, uint64_t seeds)
{
    Comparison out;
    for (workload.seed = 1; workload.seed <= seeds; ++workload.seed) {
        workload.usesEstimate = false;
        out.without.runs.push_back(Fleet(workload).run());
        workload.usesEstimate = true;
        out.with.runs.push_back(Fleet(workload).run());
    }
    std::cout << "without: " << out.without << "\nwith:    " << out.with << '\n';
    return out;
}

/// Requests must not gather at the endpoints that hold a popular prefix.
void expectNoQueue(const Comparison& it)
{
    EXPECT_LE(it.with.slowestSeconds(), 1.05 * it.without.slowestSeconds());
    EXPECT_LE(it.with.full(), 1.1 * it.without.full());
    EXPECT_LE(it.with.busiest(), 1.2 * it.without.busiest());
}

TEST(PromptCacheFleet, LargeSharedPrefixesAreFoundMoreOftenAndSaveTime)
{
    const auto it = compare({}, 6);
    EXPECT_GT(it.with.foundShare(), it.without.foundShare() + 0.015);
    EXPECT_LT(it.with.meanFirstEvent(), it.without.meanFirstEvent());
    EXPECT_GE(it.with.inTimeShare(), it.without.inTimeShare() - 0.001);
    EXPECT_GT(it.with.confirmedShare(), 0.85);
    expectNoQueue(it);
}

TEST(PromptCacheFleet, FewTokensOfMemoryDoNotMakeItWorse)
{
    // The caches are filled anew several times a second, mostly by other daemons.
    const auto it = compare({ .memory = 60'000 }, 6);
    EXPECT_LE(it.with.meanFirstEvent(), it.without.meanFirstEvent() + 0.001);
    EXPECT_GE(it.with.inTimeShare(), it.without.inTimeShare() - 0.001);
    EXPECT_GT(it.with.confirmedShare(), 0.75);
    expectNoQueue(it);
}

TEST(PromptCacheFleet, SmallSharedPrefixesChangeLittle)
{
    const auto it = compare({ .commonTokens = 60, .subjectTokens = 0 }, 6);
    EXPECT_NEAR(it.with.meanFirstEvent(), it.without.meanFirstEvent(), 0.002);
    EXPECT_NEAR(it.with.inTimeShare(), it.without.inTimeShare(), 0.002);
    expectNoQueue(it);
}

TEST(PromptCacheFleet, ManyDaemonsThatSeeFewRequestsEachAreNotWorse)
{
    const auto it = compare(
        { .daemons = 85, .endpoints = 90, .dataCentres = 3, .requestsPerSecond = 1410, .duration = 30s }, 2);
    EXPECT_LE(it.with.meanFirstEvent(), it.without.meanFirstEvent() + 0.001);
    EXPECT_GE(it.with.inTimeShare(), it.without.inTimeShare() - 0.001);
    expectNoQueue(it);
}

} // namespace
} // namespace lentilbay::edge
