// Simulates daemons that claim keys at one table.
#include "ClaimSimulation.h"

#include <algorithm>
#include <fmt/format.h>

namespace lentilbay {
namespace {

constexpr Duration tick = std::chrono::milliseconds(5);
constexpr Duration peerDelay = std::chrono::milliseconds(1);

} // namespace

std::optional<TableRow> ClaimTable::read(const std::string& key) const
{
    const auto it = rows.find(key);
    if (it == rows.end())
        return std::nullopt;
    return TableRow { .key = key, .value = it->second.value, .version = it->second.version };
}

StoreReply ClaimTable::apply(const StoreCommand& command)
{
    StoreReply reply { .id = command.id, .user = command.user, .status = StoreStatus::Done };
    if (const auto* read = std::get_if<TableRead>(&command.operation)) {
        for (const auto& it : read->keys)
            reply.rows.push_back(this->read(it.key));
        return reply;
    }
    if (const auto* scan = std::get_if<TableScan>(&command.operation)) {
        for (auto it = rows.upper_bound(scan->after); it != rows.end() && reply.rows.size() < scan->limit;
             ++it)
            reply.rows.push_back(this->read(it->first));
        return reply;
    }
    const auto& writes = std::get<TableTransaction>(command.operation).writes;
    const bool holds = std::all_of(writes.begin(), writes.end(), [this](const auto& it) {
        const auto row = read(it.key.key);
        return !it.expectedVersion || *it.expectedVersion == (row ? row->version : 0);
    });
    if (!holds) {
        reply.status = StoreStatus::Conflict;
        for (const auto& it : writes)
            reply.rows.push_back(read(it.key.key));
        return reply;
    }
    for (const auto& it : writes) {
        const auto version = ++lastVersions[it.key.key];
        ++rowsWritten;
        if (it.value)
            rows[it.key.key] = { *it.value, version };
        else
            rows.erase(it.key.key);
    }
    return reply;
}

struct ClaimSimulation::Node final : AnswerSource {
    std::optional<ClaimReport> finishedReport(const RequestId& id) const override
    {
        if (!answered.contains(id))
            return std::nullopt;
        return ClaimReport { .state = ClaimState::Finished,
            .code = static_cast<uint16_t>(ResultCode::Ok),
            .httpStatus = 200,
            .body = "answer of " + id.text() };
    }

    Blackboard blackboard;
    std::unique_ptr<ClaimController> claims;
    uint64_t incarnation = 1;
    bool paused = false;
    std::set<RequestId> answered;
    /// Requests waiting for their claim or dispatch, in order of arrival.
    std::vector<RequestId> waiting;
    std::map<RequestId, std::vector<RequestId>> followers;
};

ClaimSimulation::ClaimSimulation(int daemons, uint64_t seed, ClaimOptions options)
    : m_options(std::move(options))
    , m_random(seed)
{
    for (int i = 0; i < daemons; ++i) {
        m_nodes.push_back(std::make_unique<Node>());
        start(i, 1);
    }
}

ClaimSimulation::~ClaimSimulation() = default;

void ClaimSimulation::start(int daemon, uint64_t incarnation)
{
    auto created = std::make_unique<Node>();
    created->incarnation = incarnation;
    created->blackboard.self = DaemonId(fmt::format("d{}", daemon));
    created->blackboard.region = RegionId("r");
    created->blackboard.members[created->blackboard.self]
        = { .id = created->blackboard.self, .region = RegionId("r"), .incarnation = incarnation };
    auto options = m_options;
    options.seed = m_random.below(UINT64_MAX);
    options.address = created->blackboard.self.text();
    created->claims = std::make_unique<ClaimController>(created->blackboard, *created, options);
    m_nodes[static_cast<size_t>(daemon)] = std::move(created);
}

void ClaimSimulation::schedule(Duration delay, std::function<void()> action)
{
    m_events.push({ now + delay, m_order++, std::move(action) });
}

void ClaimSimulation::scheduleAt(
    int daemon, uint64_t incarnation, Duration delay, std::function<void(Node&)> action)
{
    schedule(delay, [this, daemon, incarnation, action = std::move(action)] {
        auto& it = node(daemon);
        if (it.incarnation != incarnation)
            return;
        if (it.paused)
            return scheduleAt(daemon, incarnation, tick, action);
        action(it);
    });
}

RequestId ClaimSimulation::send(
    int daemon, const std::string& key, uint64_t bodyHash, const std::string& organisation)
{
    RequestId id(fmt::format("q{}", ++m_lastId));
    m_sent[id] = { .daemon = daemon, .key = organisation + "/" + key, .bodyHash = bodyHash };
    scheduleAt(daemon, node(daemon).incarnation, Duration {}, [=, this](Node& it) {
        it.waiting.push_back(id);
        it.claims->begin(
            { .id = id, .organisation = OrganisationId(organisation), .key = key, .bodyHash = bodyHash },
            now);
    });
    return id;
}

void ClaimSimulation::run(Duration duration)
{
    const auto end = now + duration;
    while (now < end) {
        now += tick;
        wallNow += tick;
        while (!m_events.empty() && m_events.top().at <= now) {
            const auto action = m_events.top().action;
            m_events.pop();
            action();
        }
        for (int i = 0; i < static_cast<int>(m_nodes.size()); ++i)
            stepNode(i);
    }
}

void ClaimSimulation::stepNode(int daemon)
{
    auto& it = node(daemon);
    if (it.paused)
        return;
    if (it.claims->nextWake() <= now)
        it.claims->step(now, wallNow);
    for (const auto& decision : it.claims->takeDecisions())
        applyDecision(daemon, decision);
    for (const auto& command : std::exchange(it.blackboard.storeOutbox, {}))
        submitToTable(daemon, command);
    for (const auto& message : std::exchange(it.blackboard.outbox, {}))
        sendPeer(daemon, message);
}

void ClaimSimulation::submitToTable(int daemon, const StoreCommand& command)
{
    const auto incarnation = node(daemon).incarnation;
    const auto answer = [this, daemon, incarnation](Duration delay, const StoreReply& reply) {
        scheduleAt(daemon, incarnation, delay, [this, reply](Node& it) { it.claims->receive(reply, now); });
    };
    StoreReply failure { .id = command.id, .user = command.user, .status = StoreStatus::Ambiguous };
    if (outage) {
        failure.status = StoreStatus::Unavailable;
        return answer(tableDelay, failure);
    }
    if (loseRequests > 0) {
        --loseRequests;
        return answer(command.timeout, failure);
    }
    const bool losesReply = loseReplies > 0;
    loseReplies -= losesReply ? 1 : 0;
    const auto back = tableDelay;
    schedule(tableDelay, [=, this] {
        const auto reply = table.apply(command);
        if (!losesReply && 2 * back < command.timeout)
            answer(back, reply);
    });
    // The daemon stops waiting for a slow call, which may still take effect later.
    if (losesReply || 2 * back >= command.timeout)
        answer(command.timeout, failure);
}

void ClaimSimulation::sendPeer(int daemon, const OutgoingMessage& message)
{
    if (!peersReachable)
        return;
    const auto from = node(daemon).blackboard.self;
    for (int i = 0; i < static_cast<int>(m_nodes.size()); ++i) {
        if (node(i).blackboard.self != message.to)
            continue;
        scheduleAt(i, node(i).incarnation, peerDelay, [this, from, message](Node& it) {
            if (const auto* query = std::get_if<ClaimQuery>(&message.message))
                it.claims->receive(from, from.text(), *query, now);
            if (const auto* reply = std::get_if<ClaimAnswer>(&message.message))
                it.claims->receive(from, from.text(), *reply, now);
        });
    }
}

void ClaimSimulation::applyDecision(int daemon, const ClaimDecision& decision)
{
    auto& it = node(daemon);
    if (const auto* held = std::get_if<ClaimHeld>(&decision)) {
        const auto id = held->id;
        if (autoDispatch && !m_sent.at(id).ended)
            scheduleAt(
                daemon, it.incarnation, dispatchDelay, [this, id](Node& target) { dispatch(target, id); });
    } else if (const auto* elsewhere = std::get_if<ClaimHeldElsewhere>(&decision)) {
        std::erase(it.waiting, elsewhere->id);
        it.claims->finished(elsewhere->id, ResultCode::ClaimInProgress, Executed::No, now);
    } else if (const auto* follows = std::get_if<ClaimFollows>(&decision)) {
        if (it.answered.contains(follows->earlier))
            m_sent.at(follows->id).outcome = Outcome::Answered;
        else
            it.followers[follows->earlier].push_back(follows->id);
    } else if (const auto* answered = std::get_if<ClaimAnswered>(&decision)) {
        m_sent.at(answered->id).outcome = Outcome::Answered;
        if (executionsOf(m_sent.at(answered->id).key) != 1)
            m_violations.push_back("answer for a key that did not run exactly once: " + answered->id.text());
    } else {
        applyRefusal(std::get<ClaimRefused>(decision));
    }
}

void ClaimSimulation::applyRefusal(const ClaimRefused& refusal)
{
    auto& request = m_sent.at(refusal.id);
    request.code = refusal.code;
    if (refusal.code == ResultCode::IdempotencyKeyReused) {
        request.outcome = Outcome::RefusedOther;
        return;
    }
    request.outcome = refusal.ran == Executed::No ? Outcome::RefusedNotRun : Outcome::RefusedUnknown;
    if (refusal.ran == Executed::No && executionsOf(request.key) > 0)
        m_violations.push_back("refused as not run although the key ran: " + refusal.id.text());
}

void ClaimSimulation::dispatch(Node& target, const RequestId& id)
{
    auto& request = m_sent.at(id);
    if (request.ended || request.dispatched)
        return;
    request.dispatched = true;
    ++m_executions[request.key];
    std::erase(target.waiting, id);
    scheduleAt(request.daemon, target.incarnation, runTime,
        [this, id](Node& it) { end(it, id, ResultCode::Ok, Executed::Partly); });
}

void ClaimSimulation::end(Node& target, const RequestId& id, ResultCode code, Executed ran)
{
    auto& request = m_sent.at(id);
    if (request.ended)
        return;
    request.ended = true;
    request.code = code;
    request.outcome = code == ResultCode::Ok ? Outcome::Answered : Outcome::RefusedNotRun;
    if (code == ResultCode::Ok)
        target.answered.insert(id);
    target.claims->finished(id, code, ran, now);
    for (const auto& it : target.followers[id])
        m_sent.at(it).outcome = request.outcome;
}

void ClaimSimulation::expireDeadline(int daemon)
{
    auto& it = node(daemon);
    if (it.waiting.empty() || it.paused)
        return;
    const auto id = it.waiting.front();
    it.waiting.erase(it.waiting.begin());
    end(it, id, ResultCode::DeadlinePassedWaiting, Executed::No);
}

void ClaimSimulation::crash(int daemon) { start(daemon, node(daemon).incarnation + 1); }

void ClaimSimulation::pause(int daemon) { node(daemon).paused = true; }

void ClaimSimulation::resume(int daemon) { node(daemon).paused = false; }

ClaimCounters ClaimSimulation::counters(int daemon) const
{
    return m_nodes.at(static_cast<size_t>(daemon))->claims->counters();
}

int ClaimSimulation::maxExecutions() const
{
    int most = 0;
    for (const auto& [key, count] : m_executions)
        most = std::max(most, count);
    return most;
}

} // namespace lentilbay
