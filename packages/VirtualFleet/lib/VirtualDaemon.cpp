// A daemon's process: steps its control plane and executes the commands as the gateway does.
#include "VirtualDaemon.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <variant>

namespace lentilbay {
namespace {

constexpr Duration loadPollInterval = std::chrono::seconds(1);
constexpr Duration loadScanInterval = std::chrono::milliseconds(200);
constexpr Duration leavingNotice = std::chrono::seconds(1);

} // namespace

void VirtualFleet::startProcess(size_t daemon)
{
    auto& it = *m_daemons[daemon];
    ++it.incarnation;
    it.isUp = true;
    it.isPaused = false;
    it.pending.clear();
    it.earliestExitAt = std::nullopt;
    it.nextLoadScanAt = m_now;
    it.nextLoadPollAt.clear();
    it.plane.reset();
    it.blackboard = Blackboard {};
    it.blackboard.self = it.id;
    it.blackboard.region = RegionId(it.locality.region);
    it.blackboard.dataCentre = DataCentreId(it.locality.dataCentre);
    ControlPlaneOptions options;
    options.entry.seed = m_random.below(UINT64_MAX);
    options.membership.seed = m_random.below(UINT64_MAX);
    options.membership.address = it.address;
    options.membership.incarnation = it.incarnation;
    for (const auto& other : m_daemons) {
        if (other->id != it.id)
            options.membership.seeds.push_back(other->address);
    }
    it.plane = std::make_unique<ControlPlane>(it.blackboard, options, m_now);
    applyConfiguration(it.blackboard, m_options.configuration);
    it.isDirty = true;
}

void VirtualFleet::scheduleOnDaemon(size_t daemon, Duration delay, std::function<void()> callback)
{
    const auto incarnation = m_daemons[daemon]->incarnation;
    schedule(delay, [this, daemon, incarnation, callback = std::move(callback)] {
        auto& it = *m_daemons[daemon];
        if (!it.isUp || it.incarnation != incarnation)
            return;
        if (it.isPaused) {
            it.pending.push_back(callback);
            return;
        }
        callback();
        it.isDirty = true;
    });
}

void VirtualFleet::stepDaemon(size_t daemon)
{
    auto& it = *m_daemons[daemon];
    it.isDirty = false;
    it.steppedAt = m_now;
    pollLoads(daemon);
    it.plane->step(m_now);
    executeCommands(daemon);
    sendMessages(daemon);
    exitIfDrained(daemon);
}

void VirtualFleet::executeCommands(size_t daemon)
{
    auto& entry = m_daemons[daemon]->plane->entry();
    for (auto commands = entry.takeCommands(); !commands.empty(); commands = entry.takeCommands()) {
        for (const auto& command : commands)
            std::visit([&](const auto& it) { execute(daemon, it); }, command);
    }
    entry.takeOutcomes();
}

void VirtualFleet::execute(size_t daemon, const ClaimCommand& command)
{
    auto& caller = m_open.at(command.id);
    const auto& record = caller.record;
    const auto key = record.service.text() + "/" + record.organisation.text() + "/" + record.idempotencyKey;
    const bool isHeld = record.idempotencyKey.empty() || m_claims.emplace(key, command.id).second;
    if (!isHeld)
        endCaller(command.id, CallerEnd::Refused, ResultCode::ClaimInProgress, Executed::Unknown, false);
    scheduleOnDaemon(daemon, m_options.endpointDelay, [this, daemon, id = command.id, isHeld] {
        m_daemons[daemon]->plane->entry().claimed(
            id, isHeld ? ClaimResult::Held : ClaimResult::HeldElsewhere, m_now);
    });
}

void VirtualFleet::execute(size_t daemon, const DispatchCommand& command)
{
    const auto endpoint = std::find_if(m_endpoints.begin(), m_endpoints.end(),
        [&](const auto& it) { return it->endpoint().name == command.endpoint; });
    assert(endpoint != m_endpoints.end() && "dispatch to an endpoint that is not configured");
    const auto index = static_cast<size_t>(endpoint - m_endpoints.begin());
    scheduleOnDaemon(daemon, m_options.endpointDelay * 2,
        [this, daemon, id = command.id, index] { dispatch(daemon, id, index); });
}

/// Runs once the connection attempt has completed, and sends the request if the endpoint accepted.
void VirtualFleet::dispatch(size_t daemon, const RequestId& id, size_t endpoint)
{
    auto& entry = m_daemons[daemon]->plane->entry();
    if (!m_endpoints[endpoint]->acceptsConnections())
        return entry.connectFailed(id, m_now);
    if (!entry.mayDispatch(id, m_now))
        return;
    auto& caller = m_open.at(id);
    caller.endpoint = endpoint;
    schedule(m_options.endpointDelay, [this, daemon, id, endpoint, dispatch = caller.dispatch] {
        // Bytes that are already written reach the endpoint even if the daemon's process has died since.
        const bool isAccepted
            = m_endpoints[endpoint]->acceptsConnections() && m_endpoints[endpoint]->submit(dispatch, m_now);
        if (!m_open.contains(id))
            m_endpoints[endpoint]->cancel(id, m_now);
        if (isAccepted)
            return;
        const auto end = m_endpoints[endpoint]->acceptsConnections() ? AnswerEnd::Refused : AnswerEnd::Broken;
        scheduleOnDaemon(daemon, m_options.endpointDelay,
            [this, daemon, id, end] { m_daemons[daemon]->plane->entry().answerEnded(id, end, m_now); });
    });
}

void VirtualFleet::execute(size_t daemon, const CancelCommand& command)
{
    const auto caller = m_open.find(command.id);
    if (caller == m_open.end() || !caller->second.endpoint)
        return;
    const auto endpoint = *caller->second.endpoint;
    schedule(m_options.endpointDelay,
        [this, endpoint, id = command.id] { m_endpoints[endpoint]->cancel(id, m_now); });
    scheduleOnDaemon(
        daemon, m_options.endpointDelay * 2, [this, daemon, id = command.id, code = command.reason.code] {
            m_daemons[daemon]->plane->entry().answerEnded(id, AnswerEnd::Cancelled, m_now);
            endCaller(id, CallerEnd::Refused, code, Executed::Partly, false);
        });
}

void VirtualFleet::execute(size_t, const RefuseCommand& command)
{
    endCaller(command.id, CallerEnd::Refused, command.failure.code, command.ran, false);
}

void VirtualFleet::pollLoads(size_t daemon)
{
    auto& it = *m_daemons[daemon];
    if (m_now < it.nextLoadScanAt)
        return;
    it.nextLoadScanAt = m_now + loadScanInterval;
    std::map<EndpointId, TimePoint> nextPollAt;
    for (const auto& id : it.plane->slots().ownedEndpoints()) {
        const auto known = it.nextLoadPollAt.find(id);
        auto at = known == it.nextLoadPollAt.end() ? m_now : known->second;
        if (at <= m_now) {
            pollLoad(daemon, id);
            at = m_now + loadPollInterval;
        }
        nextPollAt.emplace(id, at);
    }
    it.nextLoadPollAt = std::move(nextPollAt);
}

void VirtualFleet::pollLoad(size_t daemon, const EndpointId& id)
{
    const auto endpoint = std::find_if(m_endpoints.begin(), m_endpoints.end(),
        [&](const auto& other) { return other->endpoint().name == id; });
    if (!(*endpoint)->acceptsConnections())
        return;
    const auto load = (*endpoint)->load(m_now);
    const bool isLeaving = (*endpoint)->isLeaving();
    scheduleOnDaemon(daemon, m_options.endpointDelay * 2, [this, daemon, id, load, isLeaving] {
        m_daemons[daemon]->plane->slots().loadReported(id, load, isLeaving, m_now);
    });
}

void VirtualFleet::drain(size_t daemon)
{
    auto& it = *m_daemons[daemon];
    if (!it.isUp || it.earliestExitAt)
        return;
    m_records.stops.push_back({ .daemon = it.id, .requestedAt = m_now });
    scheduleOnDaemon(daemon, {}, [this, daemon] {
        auto& leaving = *m_daemons[daemon];
        leaving.blackboard.draining = true;
        leaving.plane->membership().announceLeaving(m_now);
        leaving.earliestExitAt = m_now + leavingNotice;
    });
}

void VirtualFleet::exitIfDrained(size_t daemon)
{
    auto& it = *m_daemons[daemon];
    const bool isDone = it.earliestExitAt && m_now >= *it.earliestExitAt
        && it.plane->entry().openRequests() == 0
        && std::none_of(
            m_open.begin(), m_open.end(), [&](const auto& open) { return open.second.daemon == daemon; });
    if (!isDone)
        return;
    it.plane->membership().announceStopped(m_now);
    sendMessages(daemon);
    it.isUp = false;
    const auto stop = std::find_if(m_records.stops.rbegin(), m_records.stops.rend(),
        [&](const StopRecord& record) { return record.daemon == it.id; });
    stop->exitedAt = m_now;
}

void VirtualFleet::sendMessages(size_t daemon)
{
    for (const auto& message : m_daemons[daemon]->plane->takeMessages()) {
        const auto to = recipientOf(message);
        if (to < m_daemons.size() && to != daemon)
            m_network.send(daemon, to, message.message, m_now);
    }
}

size_t VirtualFleet::recipientOf(const OutgoingMessage& message) const
{
    const auto it = std::find_if(m_daemons.begin(), m_daemons.end(), [&](const auto& daemon) {
        return message.address.empty() ? daemon->id == message.to : daemon->address == message.address;
    });
    return static_cast<size_t>(it - m_daemons.begin());
}

void VirtualFleet::deliverMessages()
{
    while (auto delivery = m_network.take(m_now)) {
        const auto from = delivery->from;
        scheduleOnDaemon(
            delivery->to, {}, [this, to = delivery->to, from, message = std::move(delivery->message)] {
                m_daemons[to]->plane->receive(m_daemons[from]->id, m_daemons[from]->address, message, m_now);
            });
    }
}

} // namespace lentilbay
