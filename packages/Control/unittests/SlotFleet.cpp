// Simulates daemons that share slots, in virtual time.
#include "SlotFleet.h"

#include <algorithm>
#include <utility>

namespace lentilbay::test {

using namespace std::chrono_literals;

const ServiceId SlotFleet::service("line-edit");

SlotFleet::SlotFleet(FleetOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_leaving(options.endpoints)
    , m_partitioned(options.daemons, std::vector<bool>(options.daemons))
{
    for (size_t i = 0; i < options.daemons; ++i) {
        m_daemons.push_back(std::make_unique<Daemon>());
        m_daemons.back()->id = DaemonId("daemon-" + std::to_string(i));
    }
    for (size_t i = 0; i < options.daemons; ++i)
        addDaemon(i);
}

std::shared_ptr<const Configuration> SlotFleet::configuration() const
{
    auto out = std::make_shared<Configuration>();
    out->services = { { .name = service } };
    for (size_t k = 0; k < m_options.endpoints; ++k) {
        out->endpoints.push_back({ .name = EndpointId("engine-" + std::to_string(k)),
            .region = RegionId("Yeongnam"),
            .dataCentre = DataCentreId("Busan"),
            .services = { service },
            .slots = m_options.slotsEach });
    }
    return out;
}

void SlotFleet::addDaemon(size_t i)
{
    auto& daemon = *m_daemons[i];
    const auto before = daemon.blackboard.members.find(daemon.id);
    const uint64_t incarnation
        = before == daemon.blackboard.members.end() ? 1 : before->second.incarnation + 1;
    daemon.blackboard = Blackboard {};
    daemon.blackboard.self = daemon.id;
    daemon.blackboard.region = RegionId("Yeongnam");
    daemon.blackboard.dataCentre = DataCentreId("Busan");
    for (const auto& it : m_daemons) {
        daemon.blackboard.members[it->id] = { .id = it->id,
            .region = RegionId("Yeongnam"),
            .dataCentre = DataCentreId("Busan"),
            .incarnation = 1 };
    }
    daemon.blackboard.members[daemon.id].incarnation = incarnation;
    applyConfiguration(daemon.blackboard, configuration());
    daemon.slots = std::make_unique<SlotController>(daemon.blackboard);
}

void SlotFleet::run(Duration duration, const std::function<void()>& check)
{
    const auto end = m_now + duration;
    while (m_now < end) {
        m_now += 1ms;
        deliver();
        for (size_t i = 0; i < m_daemons.size(); ++i) {
            if (m_daemons[i]->isUp && !m_daemons[i]->isPaused)
                stepDaemon(i);
        }
        check();
    }
}

void SlotFleet::stepDaemon(size_t i)
{
    auto& daemon = *m_daemons[i];
    reportLoads(i);
    if (m_random.chance(m_options.finishProbability))
        finishOne(i);
    preemptRecalled(daemon);
    dispatch(daemon);
    const auto wake = daemon.slots->nextWake();
    const bool hasDemand = daemon.blackboard.findPool(service)->waiting != std::array<uint32_t, maxTiers> {};
    if (!wake || *wake <= m_now || hasDemand)
        daemon.slots->step(m_now);
    sendMessages(i);
}

void SlotFleet::reportLoads(size_t i)
{
    auto& daemon = *m_daemons[i];
    if (m_now < daemon.nextLoadQuery)
        return;
    daemon.nextLoadQuery = m_now + 250ms;
    for (const auto& id : daemon.slots->ownedEndpoints()) {
        const auto k = daemon.blackboard.endpointPositions.at(id);
        daemon.slots->loadReported(
            id, { .running = inFlightAt(k), .measuredAt = m_now }, m_leaving[k], m_now);
    }
}

void SlotFleet::dispatch(Daemon& daemon)
{
    auto& pool = *daemon.blackboard.findPool(service);
    for (size_t rank = 0; rank < maxTiers; ++rank) {
        for (auto& state : daemon.blackboard.endpoints) {
            while (pool.waiting[rank] > 0 && state.freeSlots(m_now, static_cast<int>(rank)) > 0) {
                --pool.waiting[rank];
                pool.urgent[rank] -= std::min(pool.urgent[rank], 1U);
                ++state.inFlight[rank];
            }
        }
    }
}

void SlotFleet::preemptRecalled(Daemon& daemon)
{
    auto& pool = *daemon.blackboard.findPool(service);
    for (auto rank = static_cast<size_t>(maxTiers) - 1; rank > static_cast<size_t>(pool.recall.forRank);
         --rank) {
        for (auto& state : daemon.blackboard.endpoints) {
            while (pool.recall.slots > 0 && state.inFlight[rank] > 0) {
                --pool.recall.slots;
                --state.inFlight[rank];
            }
        }
    }
    pool.recall = {};
}

void SlotFleet::sendMessages(size_t from)
{
    auto& daemon = *m_daemons[from];
    for (auto& outgoing : std::exchange(daemon.blackboard.outbox, {})) {
        const auto to = indexOf(outgoing.to);
        const bool isLocal = to == from;
        const auto& faults = m_options.faults;
        m_messagesSent += isLocal ? 0 : 1;
        const int copies = !isLocal && m_random.chance(faults.duplication) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (!isLocal && (m_partitioned[from][to] || m_random.chance(faults.loss)))
                continue;
            const auto spread = static_cast<uint64_t>((faults.maxDelay - faults.minDelay).count()) + 1;
            const auto delay = faults.minDelay + Duration(static_cast<int64_t>(m_random.below(spread)));
            m_inFlightMessages.push_back({ m_now + (isLocal ? Duration(0) : delay), from, to,
                outgoing.message, m_daemons[to]->blackboard.members[m_daemons[to]->id].incarnation });
        }
    }
}

void SlotFleet::deliver()
{
    std::vector<InFlightMessage> undelivered;
    for (auto& it : std::exchange(m_inFlightMessages, {})) {
        auto& daemon = *m_daemons[it.to];
        if (it.at > m_now || daemon.isPaused) {
            undelivered.push_back(std::move(it));
            continue;
        }
        const bool isLost
            = !daemon.isUp || daemon.blackboard.members[daemon.id].incarnation != it.incarnation;
        if (isLost)
            continue;
        const auto& from = m_daemons[it.from]->id;
        if (const auto* demand = std::get_if<DemandReport>(&it.message))
            daemon.slots->receive(from, "", *demand, m_now);
        if (const auto* grant = std::get_if<GrantReport>(&it.message))
            daemon.slots->receive(from, "", *grant, m_now);
    }
    m_inFlightMessages.insert(m_inFlightMessages.end(), std::make_move_iterator(undelivered.begin()),
        std::make_move_iterator(undelivered.end()));
}

void SlotFleet::addWaiting(size_t daemon, int rank, uint32_t requests, bool urgent)
{
    auto& pool = *m_daemons[daemon]->blackboard.findPool(service);
    pool.waiting[static_cast<size_t>(rank)] += requests;
    pool.urgent[static_cast<size_t>(rank)] += urgent ? requests : 0;
}

void SlotFleet::cancelWaiting(size_t daemon, int rank)
{
    auto& pool = *m_daemons[daemon]->blackboard.findPool(service);
    pool.waiting[static_cast<size_t>(rank)] = 0;
    pool.urgent[static_cast<size_t>(rank)] = 0;
}

void SlotFleet::finishOne(size_t daemon)
{
    std::vector<uint32_t*> running;
    for (auto& state : m_daemons[daemon]->blackboard.endpoints) {
        for (auto& n : state.inFlight)
            running.insert(running.end(), n, &n);
    }
    if (!running.empty())
        --*running[m_random.below(running.size())];
}

void SlotFleet::setPaused(size_t daemon, bool isPaused) { m_daemons[daemon]->isPaused = isPaused; }

void SlotFleet::restart(size_t daemon)
{
    addDaemon(daemon);
    m_daemons[daemon]->isUp = true;
    m_daemons[daemon]->isPaused = false;
}

void SlotFleet::stop(size_t daemon)
{
    for (auto& state : m_daemons[daemon]->blackboard.endpoints)
        state.inFlight = {};
    m_daemons[daemon]->isUp = false;
}

void SlotFleet::setView(size_t observer, size_t observed, MemberStatus status)
{
    m_daemons[observer]->blackboard.members[m_daemons[observed]->id].status = status;
}

void SlotFleet::setPartitioned(size_t a, size_t b, bool isPartitioned)
{
    m_partitioned[a][b] = isPartitioned;
    m_partitioned[b][a] = isPartitioned;
}

uint32_t SlotFleet::inFlight(size_t daemon, int rank) const
{
    uint32_t total = 0;
    for (const auto& state : m_daemons[daemon]->blackboard.endpoints)
        total += state.inFlight[static_cast<size_t>(rank)];
    return total;
}

uint32_t SlotFleet::inFlightAt(size_t endpoint) const
{
    uint32_t total = 0;
    for (const auto& daemon : m_daemons)
        total += daemon->blackboard.endpoints[endpoint].inFlightTotal();
    return total;
}

size_t SlotFleet::indexOf(const DaemonId& id) const
{
    for (size_t i = 0; i < m_daemons.size(); ++i) {
        if (m_daemons[i]->id == id)
            return i;
    }
    return 0;
}

} // namespace lentilbay::test
