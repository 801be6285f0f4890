#include "ClaimWorld.h"

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

struct ClaimWorld::Node final : AnswerSource {
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
    /// Requests that wait for their claim or their dispatch, in order.
    std::vector<RequestId> waiting;
    std::map<RequestId, std::vector<RequestId>> followers;
};

ClaimWorld::ClaimWorld(int daemons, uint64_t seed, ClaimOptions options)
    : m_options(std::move(options))
    , m_random(seed)
{
    for (int i = 0; i < daemons; ++i) {
        m_nodes.push_back(std::make_unique<Node>());
        start(i, 1);
    }
}

ClaimWorld::~ClaimWorld() = default;

void ClaimWorld::start(int daemon, uint64_t incarnation)
{
    auto fresh = std::make_unique<Node>();
    fresh->incarnation = incarnation;
    fresh->blackboard.self = DaemonId(fmt::format("d{}", daemon));
    fresh->blackboard.region = RegionId("r");
    fresh->blackboard.members[fresh->blackboard.self]
        = { .id = fresh->blackboard.self, .region = RegionId("r"), .incarnation = incarnation };
    auto options = m_options;
    options.seed = m_random.below(UINT64_MAX);
    options.address = fresh->blackboard.self.text();
    fresh->claims = std::make_unique<ClaimController>(fresh->blackboard, *fresh, options);
    m_nodes[static_cast<size_t>(daemon)] = std::move(fresh);
}

void ClaimWorld::after(Duration delay, std::function<void()> action)
{
    m_later.push({ now + delay, m_order++, std::move(action) });
}

void ClaimWorld::afterAt(int daemon, uint64_t incarnation, Duration delay, std::function<void(Node&)> action)
{
    after(delay, [this, daemon, incarnation, action = std::move(action)] {
        auto& it = node(daemon);
        if (it.incarnation != incarnation)
            return;
        if (it.paused)
            return afterAt(daemon, incarnation, tick, action);
        action(it);
    });
}

RequestId ClaimWorld::send(
    int daemon, const std::string& key, uint64_t bodyHash, const std::string& organisation)
{
    RequestId id(fmt::format("q{}", ++m_lastId));
    m_sent[id] = { .daemon = daemon, .key = organisation + "/" + key, .bodyHash = bodyHash };
    afterAt(daemon, node(daemon).incarnation, Duration {}, [=, this](Node& it) {
        it.waiting.push_back(id);
        it.claims->begin(
            { .id = id, .organisation = OrganisationId(organisation), .key = key, .bodyHash = bodyHash },
            now);
    });
    return id;
}

void ClaimWorld::run(Duration duration)
{
    const auto end = now + duration;
    while (now < end) {
        now += tick;
        wallNow += tick;
        while (!m_later.empty() && m_later.top().at <= now) {
            const auto action = m_later.top().action;
            m_later.pop();
            action();
        }
        for (int i = 0; i < static_cast<int>(m_nodes.size()); ++i)
            stepNode(i);
    }
}

void ClaimWorld::stepNode(int daemon)
{
    auto& it = node(daemon);
    if (it.paused)
        return;
    if (it.claims->nextWake() <= now)
        it.claims->step(now, wallNow);
    for (const auto& decision : it.claims->takeDecisions())
        decide(daemon, decision);
    for (const auto& command : std::exchange(it.blackboard.storeOutbox, {}))
        callTable(daemon, command);
    for (const auto& message : std::exchange(it.blackboard.outbox, {}))
        sendPeer(daemon, message);
}

void ClaimWorld::callTable(int daemon, const StoreCommand& command)
{
    const auto incarnation = node(daemon).incarnation;
    const auto answer = [this, daemon, incarnation](Duration delay, const StoreReply& reply) {
        afterAt(daemon, incarnation, delay, [this, reply](Node& it) { it.claims->receive(reply, now); });
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
    const bool losesAnswer = loseAnswers > 0;
    loseAnswers -= losesAnswer ? 1 : 0;
    const auto back = tableDelay;
    after(tableDelay, [=, this] {
        const auto reply = table.apply(command);
        if (!losesAnswer && 2 * back < command.timeout)
            answer(back, reply);
    });
    // A slow call is given up by the daemon, but may take effect later.
    if (losesAnswer || 2 * back >= command.timeout)
        answer(command.timeout, failure);
}

void ClaimWorld::sendPeer(int daemon, const OutgoingMessage& message)
{
    if (!peersReachable)
        return;
    const auto from = node(daemon).blackboard.self;
    for (int i = 0; i < static_cast<int>(m_nodes.size()); ++i) {
        if (node(i).blackboard.self != message.to)
            continue;
        afterAt(i, node(i).incarnation, peerDelay, [this, from, message](Node& it) {
            if (const auto* query = std::get_if<ClaimQuery>(&message.message))
                it.claims->receive(from, from.text(), *query, now);
            if (const auto* reply = std::get_if<ClaimAnswer>(&message.message))
                it.claims->receive(from, from.text(), *reply, now);
        });
    }
}

void ClaimWorld::decide(int daemon, const ClaimDecision& decision)
{
    auto& it = node(daemon);
    if (const auto* held = std::get_if<ClaimHeld>(&decision)) {
        const auto id = held->id;
        if (dispatches && !m_sent.at(id).ended)
            afterAt(daemon, it.incarnation, dispatchDelay, [this, id](Node& at) { dispatch(at, id); });
    } else if (const auto* elsewhere = std::get_if<ClaimHeldElsewhere>(&decision)) {
        std::erase(it.waiting, elsewhere->id);
        it.claims->finished(elsewhere->id, ResultCode::ClaimInProgress, Ran::No, now);
    } else if (const auto* follows = std::get_if<ClaimFollows>(&decision)) {
        if (it.answered.contains(follows->earlier))
            m_sent.at(follows->id).told = Told::Answer;
        else
            it.followers[follows->earlier].push_back(follows->id);
    } else if (const auto* answered = std::get_if<ClaimAnswered>(&decision)) {
        m_sent.at(answered->id).told = Told::Answer;
        if (executionsOf(m_sent.at(answered->id).key) != 1)
            m_breaches.push_back("an answer of a key that did not run: " + answered->id.text());
    } else {
        refused(std::get<ClaimRefused>(decision));
    }
}

void ClaimWorld::refused(const ClaimRefused& refusal)
{
    auto& request = m_sent.at(refusal.id);
    request.code = refusal.code;
    if (refusal.code == ResultCode::IdempotencyKeyReused) {
        request.told = Told::RefusedOther;
        return;
    }
    request.told = refusal.ran == Ran::No ? Told::RefusedNotRun : Told::RefusedUnknown;
    if (refusal.ran == Ran::No && executionsOf(request.key) > 0)
        m_breaches.push_back("told as not run although it ran: " + refusal.id.text());
}

void ClaimWorld::dispatch(Node& at, const RequestId& id)
{
    auto& request = m_sent.at(id);
    if (request.ended || request.dispatched)
        return;
    request.dispatched = true;
    ++m_executions[request.key];
    std::erase(at.waiting, id);
    afterAt(request.daemon, at.incarnation, runTime,
        [this, id](Node& it) { end(it, id, ResultCode::Ok, Ran::Partly); });
}

void ClaimWorld::end(Node& at, const RequestId& id, ResultCode code, Ran ran)
{
    auto& request = m_sent.at(id);
    if (request.ended)
        return;
    request.ended = true;
    request.code = code;
    request.told = code == ResultCode::Ok ? Told::Answer : Told::RefusedNotRun;
    if (code == ResultCode::Ok)
        at.answered.insert(id);
    at.claims->finished(id, code, ran, now);
    for (const auto& it : at.followers[id])
        m_sent.at(it).told = request.told;
}

void ClaimWorld::passDeadline(int daemon)
{
    auto& it = node(daemon);
    if (it.waiting.empty() || it.paused)
        return;
    const auto id = it.waiting.front();
    it.waiting.erase(it.waiting.begin());
    end(it, id, ResultCode::DeadlinePassedWaiting, Ran::No);
}

void ClaimWorld::crash(int daemon) { start(daemon, node(daemon).incarnation + 1); }

void ClaimWorld::pause(int daemon) { node(daemon).paused = true; }

void ClaimWorld::resume(int daemon) { node(daemon).paused = false; }

ClaimCounters ClaimWorld::counters(int daemon) const
{
    return m_nodes.at(static_cast<size_t>(daemon))->claims->counters();
}

int ClaimWorld::mostExecutions() const
{
    int most = 0;
    for (const auto& [key, count] : m_executions)
        most = std::max(most, count);
    return most;
}

} // namespace lentilbay
