// The event loop of the simulation and its callers.
#include "lentilbay/VirtualFleet/VirtualFleet.h"

#include "VirtualDaemon.h"

#include <algorithm>
#include <utility>

namespace lentilbay {
namespace {

/// The minimum time between two steps of a daemon, which guarantees that the clock advances.
constexpr Duration minStepInterval = std::chrono::milliseconds(1);

bool isPlain(const Configuration& configuration, const Endpoint& endpoint)
{
    const auto* service
        = endpoint.services.empty() ? nullptr : findService(configuration, endpoint.services[0]);
    return service != nullptr && service->kind == ServiceKind::Plain;
}

} // namespace

VirtualFleet::VirtualFleet(VirtualFleetOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_network(m_options.localities.size(), m_options.seed + 1)
{
    m_network.setFaults(m_options.links);
    for (const auto& endpoint : m_options.configuration->endpoints)
        m_endpoints.push_back(
            std::make_unique<VirtualEndpoint>(endpoint, isPlain(*m_options.configuration, endpoint)));
    for (const auto& locality : m_options.localities) {
        auto daemon = std::make_unique<Daemon>();
        daemon->id = DaemonId("daemon-" + std::to_string(m_daemons.size()));
        daemon->locality = locality;
        daemon->address = "address-" + std::to_string(m_daemons.size());
        m_daemons.push_back(std::move(daemon));
    }
    for (size_t i = 0; i < m_daemons.size(); ++i)
        startProcess(i);
}

VirtualFleet::~VirtualFleet() = default;

void VirtualFleet::schedule(Duration delay, std::function<void()> callback)
{
    m_events.push({ .at = m_now + delay, .order = ++m_lastOrder, .callback = std::move(callback) });
}

std::optional<TimePoint> VirtualFleet::nextEvent() const
{
    std::optional<TimePoint> next = m_network.nextArrival();
    const auto consider = [&](const std::optional<TimePoint>& at) {
        if (at)
            next = next ? std::min(*next, *at) : *at;
    };
    if (!m_events.empty())
        consider(m_events.top().at);
    for (const auto& endpoint : m_endpoints)
        consider(endpoint->nextWake());
    for (const auto& daemon : m_daemons) {
        if (!daemon->isUp || daemon->isPaused)
            continue;
        auto wake = daemon->plane->nextWake();
        wake = std::min(wake.value_or(daemon->nextLoadScanAt), daemon->nextLoadScanAt);
        if (daemon->earliestExitAt)
            wake = std::min(*wake, std::max(*daemon->earliestExitAt, m_now + minStepInterval));
        if (daemon->isDirty)
            wake = m_now;
        consider(std::max(*wake, daemon->steppedAt + minStepInterval));
    }
    return next;
}

void VirtualFleet::run(Duration duration)
{
    const auto end = m_now + duration;
    while (true) {
        const auto next = nextEvent();
        if (!next || *next > end)
            break;
        m_now = std::max(m_now, *next);
        deliverMessages();
        while (!m_events.empty() && m_events.top().at <= m_now) {
            auto callback = m_events.top().callback;
            m_events.pop();
            callback();
        }
        for (size_t i = 0; i < m_endpoints.size(); ++i)
            deliverOutputs(m_endpoints[i]->advance(m_now));
        for (size_t i = 0; i < m_daemons.size(); ++i) {
            auto& it = *m_daemons[i];
            const bool canStep = it.isUp && !it.isPaused && m_now >= it.steppedAt + minStepInterval;
            const auto wake = canStep ? it.plane->nextWake() : std::nullopt;
            const bool isDue
                = it.isDirty || (wake && *wake <= m_now) || it.nextLoadScanAt <= m_now || it.earliestExitAt;
            if (canStep && isDue)
                stepDaemon(i);
        }
    }
    m_now = end;
}

bool VirtualFleet::runUntilAnswered(Duration timeout)
{
    constexpr Duration slice = std::chrono::milliseconds(100);
    for (Duration elapsed {}; elapsed < timeout && !m_open.empty(); elapsed += slice)
        run(slice);
    return m_open.empty();
}

void VirtualFleet::deliverOutputs(const std::vector<VirtualOutput>& outputs)
{
    for (const auto& output : outputs) {
        const auto caller = m_open.find(output.id);
        if (caller == m_open.end())
            continue;
        const auto daemon = caller->second.daemon;
        scheduleOnDaemon(daemon, m_options.endpointDelay, [this, daemon, output] {
            auto& entry = m_daemons[daemon]->plane->entry();
            if (output.kind == VirtualOutput::Kind::Token)
                return entry.tokensArrived(output.id, 1, m_now);
            if (output.kind == VirtualOutput::Kind::Broken)
                return entry.answerEnded(output.id, AnswerEnd::Broken, m_now);
            entry.usageReported(output.id, output.cachedTokens, m_now);
            entry.answerEnded(output.id, AnswerEnd::Whole, m_now);
            endCaller(output.id, CallerEnd::Answered, ResultCode::Ok, Executed::Partly, true);
        });
    }
}

void VirtualFleet::call(size_t daemon, const VirtualRequest& request)
{
    auto& it = *m_daemons[daemon];
    if (!it.isUp)
        return;
    const RequestId id("r" + std::to_string(++m_lastRequest));
    OpenCaller caller { .daemon = daemon };
    caller.dispatch = { .id = id,
        .service = request.service,
        .key = request.idempotencyKey,
        .contentDigest = m_lastRequest,
        .promptTokens = request.promptTokens,
        .answerTokens = request.answerTokens,
        .prefixHashes = request.prefixHashes };
    const auto* tier = findTier(*m_options.configuration, request.tier);
    const auto* service = findService(*m_options.configuration, request.service);
    auto deadline = request.deadline;
    if (tier->answerWithin)
        deadline = std::min(deadline.value_or(*tier->answerWithin), *tier->answerWithin);
    caller.record = { .id = id,
        .contentDigest = m_lastRequest,
        .daemon = it.id,
        .organisation = request.organisation,
        .tier = request.tier,
        .rank = tier->rank,
        .service = request.service,
        .nonIdempotent = !service->idempotent,
        .idempotencyKey = request.idempotencyKey,
        .promptTokens = request.promptTokens,
        .answerTokens = request.answerTokens,
        .deadline = deadline ? deadline : service->deadline,
        .sentAt = m_now };
    m_open.emplace(id, std::move(caller));
    Arrival arrival { .id = id,
        .organisation = request.organisation,
        .tier = request.tier,
        .service = request.service,
        .deadline = request.deadline,
        .promptTokens = request.promptTokens,
        .maxAnswerTokens = request.answerTokens * 2,
        .prefixHashes = request.prefixHashes,
        .idempotencyKey = request.idempotencyKey,
        .bodyHash = m_lastRequest };
    scheduleOnDaemon(daemon, {}, [this, daemon, arrival = std::move(arrival)] {
        m_daemons[daemon]->plane->entry().arrive(arrival, m_now);
    });
}

void VirtualFleet::endCaller(const RequestId& id, CallerEnd end, ResultCode code, Executed ran, bool whole)
{
    const auto it = m_open.find(id);
    if (it == m_open.end())
        return;
    auto record = it->second.record;
    record.endedAt = m_now;
    record.end = end;
    record.code = code;
    record.ran = ran;
    record.whole = whole;
    record.own = whole;
    m_records.callers.push_back(std::move(record));
    m_open.erase(it);
}

bool VirtualFleet::isUp(size_t daemon) const { return m_daemons[daemon]->isUp; }
ControlPlane& VirtualFleet::plane(size_t daemon) { return *m_daemons[daemon]->plane; }
Blackboard& VirtualFleet::blackboard(size_t daemon) { return m_daemons[daemon]->blackboard; }

} // namespace lentilbay
