// Measures the entry controller's time per decision, and its memory use per engine and per waiting request.
#include "lentilbay/Control/EntryController.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <chrono>
#include <deque>
#include <memory>

namespace lentilbay {
namespace {

constexpr int organisations = 220;
constexpr int tiers = 4;
constexpr uint32_t slotsPerEngine = 8;
constexpr uint32_t promptBlocks = 12;
constexpr Duration step = std::chrono::microseconds(100);

std::shared_ptr<Configuration> makeConfiguration(int engines)
{
    auto out = std::make_shared<Configuration>();
    out->version = 1;
    for (int i = 0; i < tiers; ++i) {
        out->tiers.push_back(
            { .name = TierId("t" + std::to_string(i)), .rank = i, .answerWithin = std::chrono::minutes(10) });
    }
    for (int i = 0; i < organisations; ++i)
        out->organisations.push_back({ .name = OrganisationId("o" + std::to_string(i)) });
    out->services = { { .name = ServiceId("model") } };
    for (int i = 0; i < engines; ++i) {
        out->endpoints.push_back({ .name = EndpointId("engine-" + std::to_string(i)),
            .services = { ServiceId("model") },
            .generation = "g" + std::to_string(i % 3),
            .slots = slotsPerEngine });
    }
    return out;
}

size_t allocatedBytes() { return mallinfo2().uordblks; }

/// An entry controller with the given number of engines, each of which grants all its slots.
class Fixture {
public:
    explicit Fixture(int engines)
        : m_entry(m_blackboard, { .maxWaiting = 1'000'000, .maxWaitingSeconds = 1e9 })
    {
        applyConfiguration(m_blackboard, makeConfiguration(engines));
        for (auto& it : m_blackboard.endpoints)
            it.grant = { .slots = slotsPerEngine, .expiresAt = TimePoint(std::chrono::hours(1'000)) };
        m_entry.step(m_now);
    }

    Arrival makeArrival()
    {
        const auto n = m_next++;
        Arrival out { .id = RequestId("request-" + std::to_string(n)),
            .organisation = OrganisationId("o" + std::to_string(n % organisations)),
            .tier = TierId("t" + std::to_string(n % tiers)),
            .service = ServiceId("model"),
            .promptTokens = 3'000 };
        for (uint32_t i = 0; i < promptBlocks; ++i)
            out.prefixHashes.push_back((n % 1'000) * promptBlocks + i);
        return out;
    }

    void arrive(Arrival arrival) { m_entry.arrive(std::move(arrival), m_now); }

    /// Starts the dispatched requests, drops all other commands, and advances the time by `step`.
    void execute()
    {
        for (const auto& command : m_entry.takeCommands()) {
            const auto* dispatch = std::get_if<DispatchCommand>(&command);
            if (!dispatch || !m_entry.mayDispatch(dispatch->id, m_now))
                continue;
            m_entry.tokensArrived(dispatch->id, 1, m_now);
            m_running.push_back(dispatch->id);
        }
        m_entry.takeOutcomes();
        m_now += step;
    }

    void finishOldest()
    {
        if (m_running.empty())
            return;
        const auto id = m_running.front();
        m_running.pop_front();
        m_entry.answerEnded(id, AnswerEnd::Whole, m_now);
    }

    size_t running() const { return m_running.size(); }

private:
    Blackboard m_blackboard;
    EntryController m_entry;
    TimePoint m_now { std::chrono::seconds(1) };
    std::deque<RequestId> m_running;
    uint64_t m_next = 0;
};

template <class Decision> void timeDecision(benchmark::State& state, Decision decision)
{
    const auto before = std::chrono::steady_clock::now();
    decision();
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - before;
    state.SetIterationTime(took.count());
}

/// Times the arrival of a request: admission and routing while half of the engines' slots are free.
void admitAndRoute(benchmark::State& state)
{
    const auto engines = static_cast<int>(state.range(0));
    Fixture fixture(engines);
    const auto target = static_cast<size_t>(engines) * slotsPerEngine / 2;
    for ([[maybe_unused]] auto it : state) {
        auto arrival = fixture.makeArrival();
        timeDecision(state, [&] { fixture.arrive(std::move(arrival)); });
        fixture.execute();
        while (fixture.running() > target) {
            fixture.finishOldest();
            fixture.execute();
        }
    }
}

/// Measures the time to process the end of an answer while 5,000 requests wait, which includes selecting the
/// next request and dispatching it to the freed slot.
void serveNext(benchmark::State& state)
{
    constexpr int waiting = 5'000;
    const auto engines = static_cast<int>(state.range(0));
    Fixture fixture(engines);
    for (uint32_t i = 0; i < engines * slotsPerEngine + waiting; ++i) {
        fixture.arrive(fixture.makeArrival());
        fixture.execute();
    }
    for ([[maybe_unused]] auto it : state) {
        timeDecision(state, [&] { fixture.finishOldest(); });
        fixture.execute();
        fixture.arrive(fixture.makeArrival());
        fixture.execute();
    }
}

/// Measures the heap bytes per engine, including blackboard and configuration, and per waiting request.
void memory(benchmark::State& state)
{
    constexpr int waiting = 10'000;
    const auto engines = static_cast<int>(state.range(0));
    double perEngine = 0;
    double perRequest = 0;
    for ([[maybe_unused]] auto it : state) {
        const auto before = allocatedBytes();
        Fixture fixture(engines);
        perEngine = static_cast<double>(allocatedBytes() - before) / engines;
        for (uint32_t i = 0; i < engines * slotsPerEngine; ++i) {
            fixture.arrive(fixture.makeArrival());
            fixture.execute();
        }
        const auto full = allocatedBytes();
        for (int i = 0; i < waiting; ++i) {
            fixture.arrive(fixture.makeArrival());
            fixture.execute();
        }
        perRequest = static_cast<double>(allocatedBytes() - full) / waiting;
    }
    state.counters["bytes_per_engine"] = perEngine;
    state.counters["bytes_per_waiting_request"] = perRequest;
}

BENCHMARK(admitAndRoute)->Arg(20)->Arg(200)->Arg(1'200)->Arg(2'000)->UseManualTime();
BENCHMARK(serveNext)->Arg(20)->Arg(200)->Arg(1'200)->Arg(2'000)->UseManualTime();
BENCHMARK(memory)->Arg(1'200)->Iterations(1);

} // namespace
} // namespace lentilbay

BENCHMARK_MAIN();
