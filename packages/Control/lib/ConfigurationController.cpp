// Routes messages and replies to the parts, polls the head, and sends reports and notices.
#include "lentilbay/Control/ConfigurationController.h"

#include "AcceptanceWatcher.h"
#include "ChangeProposer.h"
#include "ConfigurationContext.h"
#include "ConfigurationFence.h"
#include "ConfigurationReplica.h"
#include "FloorRecorder.h"
#include "RosterKeeper.h"
#include "SilenceJudge.h"
#include "VersionReader.h"
#include "lentilbay/Support/Hash.h"

#include <map>
#include <set>
#include <utility>

namespace lentilbay {
namespace {

/// Up to this size of the fleet a daemon that lacks a fresh head asks every other one, beyond it those of its
/// region.
constexpr size_t smallFleet = 24;
/// Reports that nobody answers for so long go to the next daemon of the data centre.
constexpr Duration answerTimeout = std::chrono::milliseconds(2500);
constexpr Duration stepPeriod = std::chrono::milliseconds(50);

int64_t microsecondsOf(TimePoint time) { return time.time_since_epoch().count(); }

} // namespace

struct ConfigurationController::State {
    State(Blackboard& board, ConfigurationOptions options, TimePoint now);

    void refresh(TimePoint now);
    void afterEvent(TimePoint now);
    uint64_t ownFloor() const;

    void pollHead(TimePoint now);
    void takeHead(const StoreReply& reply, TimePoint sentAt, TimePoint now);

    std::vector<DaemonId> centreMembers() const;
    bool isReporter() const { return reporter() == blackboard.self; }
    DaemonId reporter() const;
    bool judgesRegion() const;
    void sendReports(TimePoint now);
    void sendReport(const DaemonId& to, const std::string& address, TimePoint now);
    std::map<DaemonId, std::string> witnesses() const;
    void noteOwnFloor();

    void takeReport(
        const DaemonId& from, const std::string& address, const ConfigurationReport& report, TimePoint now);
    void takeAcknowledgement(const DaemonId& from, const ConfigurationReport& report, HeadNotice& answer);
    std::optional<DataCentreId> dataCentreOf(const DaemonId& id) const;
    void takeDependent(
        const DaemonId& from, const ConfigurationReport& report, HeadNotice& answer, TimePoint now);
    void takeNotice(
        const DaemonId& from, const std::string& address, const HeadNotice& notice, TimePoint now);
    HeadNotice noticeAfter(uint64_t version, TimePoint now) const;
    void pushNews(TimePoint now);

    /// A daemon that reports here.
    struct Client {
        std::string address;
        uint64_t inForce = 0;
        TimePoint heardAt;
    };
    /// A daemon that is not in the roster yet and for which this one answers.
    struct Dependent {
        uint64_t floor = 0;
        TimePoint heardAt;
    };

    Blackboard& blackboard;
    ConfigurationContext context;
    ConfigurationReplica replica;
    ConfigurationFence fence;
    RosterKeeper rosterKeeper;
    FloorRecorder recorder;
    SilenceJudge judge;
    ChangeProposer proposer;
    AcceptanceWatcher watcher;
    VersionReader versions;

    Backoff pollBackoff;
    bool polling = false;
    TimePoint steppedAt;
    TimePoint nextReport;
    TimePoint nextJudgement;
    TimePoint answeredAt;
    /// How many daemons of the data centre have been passed over as reporters.
    size_t passedOver = 0;
    uint64_t floor = 0;
    uint64_t reportedFloor = 0;
    uint64_t pushedVersion = 0;
    std::map<DaemonId, Client> clients;
    std::map<DaemonId, Dependent> dependents;
    DaemonId sponsor;
};

ConfigurationController::State::State(Blackboard& board, ConfigurationOptions options, TimePoint now)
    : blackboard(board)
    , context { board, options, StoreCaller(board, StoreUser::Configuration, options.storeTimeout),
        Random(options.seed) }
    , replica(context)
    , fence(context)
    , rosterKeeper(context)
    , recorder(context)
    , judge(context, recorder)
    , proposer(context, replica)
    , watcher(context)
    , versions(context)
    , pollBackoff(options.pollPeriod, options.longestPause)
    , nextReport(now)
    , nextJudgement(now)
    , answeredAt(now)
{
    rosterKeeper.onRoster = [this](Roster roster, TimePoint) {
        fence.noteRoster(std::move(roster));
        recorder.setRoster(fence.roster());
    };
}

void ConfigurationController::State::refresh(TimePoint now)
{
    fence.refresh(replica.inForce().version > 0, replica.behindSince(), now);
}

/// The version that this daemon starts no work below. It never sinks, and stays down while a daemon that this
/// one answers for may start work under an older version.
uint64_t ConfigurationController::State::ownFloor() const
{
    auto out = fence.isFenced() ? replica.head().version : replica.inForce().version;
    for (const auto& [id, dependent] : dependents)
        out = std::min(out, dependent.floor);
    return std::max(out, floor);
}

void ConfigurationController::State::afterEvent(TimePoint now)
{
    refresh(now);
    std::erase_if(
        dependents, [&](const auto& it) { return now - it.second.heardAt > context.options.countOutDelay; });
    floor = ownFloor();
    noteOwnFloor();
    if (floor > reportedFloor)
        nextReport = now;
}

void ConfigurationController::State::noteOwnFloor()
{
    if (!rosterKeeper.isRegistered() || !isReporter())
        return;
    const auto* roster = fence.roster();
    recorder.note(blackboard.dataCentre, blackboard.self,
        { .incarnation = context.options.incarnation,
            .floor = floor,
            .rosterSequence = roster == nullptr ? 0 : roster->sequence });
}

void ConfigurationController::State::pollHead(TimePoint now)
{
    // Others read the head only where nobody tells them that theirs is the newest.
    const auto freshAt = fence.freshAt();
    const bool isFresh = freshAt && now - *freshAt < context.options.freshness / 2;
    const bool confirmsStart = !fence.isAdmitted();
    if (polling || !pollBackoff.isDue(now) || (isFresh && !isReporter() && !confirmsStart))
        return;
    polling = true;
    context.store.call(TableRead { .keys = { headKey(), rosterSequenceKey() } },
        [this, sentAt = now](const StoreReply& reply, TimePoint at) {
            polling = false;
            takeHead(reply, sentAt, at);
        });
}

void ConfigurationController::State::takeHead(const StoreReply& reply, TimePoint sentAt, TimePoint now)
{
    if (reply.status != StoreStatus::Done || reply.rows.size() != 2)
        return pollBackoff.failed(now, context.random);
    pollBackoff.succeeded(now + context.options.pollPeriod);
    rosterKeeper.hear(parseSequence(reply.rows[1]));
    const auto head = reply.rows[0] ? parseHead(reply.rows[0]) : ConfigurationHead {};
    if (head && replica.learn(*head, now))
        fence.noteFresh(sentAt);
}

/// This daemon and the others of its data centre, the one that should report for it first.
std::vector<DaemonId> ConfigurationController::State::centreMembers() const
{
    std::vector<std::pair<uint64_t, DaemonId>> weighted {
        { rendezvousWeight(blackboard.dataCentre.text(), blackboard.self.text()), blackboard.self }
    };
    for (const auto& [id, member] : blackboard.members) {
        if (id != blackboard.self && member.dataCentre == blackboard.dataCentre
            && member.status == MemberStatus::Alive)
            weighted.emplace_back(rendezvousWeight(blackboard.dataCentre.text(), id.text()), id);
    }
    std::sort(weighted.rbegin(), weighted.rend());
    std::vector<DaemonId> out;
    out.reserve(weighted.size());
    for (auto& [weight, id] : weighted)
        out.push_back(std::move(id));
    return out;
}

DaemonId ConfigurationController::State::reporter() const
{
    const auto members = centreMembers();
    return members[passedOver % members.size()];
}

bool ConfigurationController::State::judgesRegion() const
{
    return std::none_of(blackboard.members.begin(), blackboard.members.end(), [this](const auto& it) {
        const auto& [id, member] = it;
        return member.region == blackboard.region && member.status == MemberStatus::Alive
            && id < blackboard.self;
    });
}

/// Whom to ask where no daemon nearby knows whether the version is the newest.
std::map<DaemonId, std::string> ConfigurationController::State::witnesses() const
{
    std::map<DaemonId, std::string> out;
    for (const auto& [id, member] : blackboard.members) {
        if (member.region == blackboard.region && member.status != MemberStatus::Dead)
            out.emplace(id, member.address);
    }
    if (const auto* roster = fence.roster()) {
        const bool isSmall = roster->members.size() <= smallFleet;
        for (const auto& member : roster->members) {
            if (isPresent(member) && (isSmall || member.region == blackboard.region))
                out.emplace(member.id, member.address);
        }
    }
    out.erase(blackboard.self);
    return out;
}

void ConfigurationController::State::sendReport(const DaemonId& to, const std::string& address, TimePoint now)
{
    const auto* roster = fence.roster();
    blackboard.outbox.push_back({ .to = to,
        .message = ConfigurationReport { .sentAt = microsecondsOf(now),
            .incarnation = context.options.incarnation,
            .floor = floor,
            .inForce = replica.inForce().version,
            .rosterSequence = roster == nullptr ? 0 : roster->sequence,
            .registered = rosterKeeper.isRegistered() },
        .address = address });
}

void ConfigurationController::State::sendReports(TimePoint now)
{
    if (now < nextReport)
        return;
    nextReport = now + context.options.pollPeriod;
    reportedFloor = floor;
    if (now - answeredAt > answerTimeout) {
        ++passedOver;
        answeredAt = now;
    }
    const auto freshAt = fence.freshAt();
    const bool isFresh = freshAt && now - *freshAt < context.options.freshness / 2;
    if (!isFresh) {
        const bool hasSponsor = !sponsor.empty() && floor > 0 && !rosterKeeper.isRegistered();
        for (const auto& [id, address] : witnesses()) {
            if (!hasSponsor || id == sponsor)
                sendReport(id, address, now);
        }
        if (hasSponsor && now - answeredAt > context.options.freshness / 2)
            sponsor = DaemonId();
        return;
    }
    if (const auto to = reporter(); to != blackboard.self)
        sendReport(to, "", now);
    else
        answeredAt = now;
}

HeadNotice ConfigurationController::State::noticeAfter(uint64_t version, TimePoint now) const
{
    const auto freshAt = fence.freshAt();
    return { .head = replica.head(),
        .headAge = freshAt ? (now - *freshAt).count() : -1,
        .rosterSequence = rosterKeeper.heard(),
        .fenced = fence.isFenced(),
        .registered = fence.isAdmitted(),
        .steps = replica.stepsAfter(version) };
}

void ConfigurationController::State::takeReport(
    const DaemonId& from, const std::string& address, const ConfigurationReport& report, TimePoint now)
{
    clients[from] = { .address = address, .inForce = report.inForce, .heardAt = now };
    auto answer = noticeAfter(report.inForce, now);
    answer.sentAt = report.sentAt;
    if (report.registered)
        takeAcknowledgement(from, report, answer);
    else
        takeDependent(from, report, answer, now);
    blackboard.outbox.push_back({ .to = from, .message = std::move(answer), .address = address });
}

void ConfigurationController::State::takeAcknowledgement(
    const DaemonId& from, const ConfigurationReport& report, HeadNotice& answer)
{
    // It may go on for a while under the word that was given for it; the time of that word is not renewed.
    if (const auto dependent = dependents.find(from); dependent != dependents.end())
        dependent->second.floor = report.floor;
    const auto centre = dataCentreOf(from);
    if (!centre)
        return;
    recorder.note(*centre, from,
        { .incarnation = report.incarnation,
            .floor = report.floor,
            .rosterSequence = report.rosterSequence });
    const auto* recorded = recorder.recorded(*centre, from);
    if (recorded == nullptr || recorded->incarnation != report.incarnation)
        return;
    answer.recordedFloor = recorded->floor;
    answer.recordedRosterSequence = recorded->rosterSequence;
}

std::optional<DataCentreId> ConfigurationController::State::dataCentreOf(const DaemonId& id) const
{
    if (const auto it = blackboard.members.find(id); it != blackboard.members.end())
        return it->second.dataCentre;
    const auto* member = fence.roster() == nullptr ? nullptr : findMember(*fence.roster(), id);
    return member == nullptr ? std::nullopt : std::optional(member->dataCentre);
}

/// Answers for a daemon that could not register: this one's floor stays down to the other's from now on.
void ConfigurationController::State::takeDependent(
    const DaemonId& from, const ConfigurationReport& report, HeadNotice& answer, TimePoint now)
{
    if (fence.isFenced() || !fence.isAdmitted() || report.floor == 0 || report.floor < floor)
        return;
    dependents[from] = { .floor = report.floor, .heardAt = now };
    answer.recordedFloor = report.floor;
}

void ConfigurationController::State::takeNotice(
    const DaemonId& from, const std::string& address, const HeadNotice& notice, TimePoint now)
{
    if (notice.head.version > 0 && notice.head.version >= replica.head().version)
        replica.setPeer(from, address);
    replica.take(notice.steps, now);
    const bool isNewest = notice.head.version > 0 && replica.learn(notice.head, now);
    rosterKeeper.hear(notice.rosterSequence);
    if (notice.sentAt == 0)
        return;
    answeredAt = now;
    const TimePoint sentAt { Duration(notice.sentAt) };
    if (isNewest && notice.headAge >= 0)
        fence.noteFresh(sentAt - Duration(notice.headAge));
    if (notice.registered)
        fence.noteSeen(from, sentAt);
    if (notice.recordedFloor == 0)
        return;
    if (rosterKeeper.isRegistered()) {
        fence.noteRecorded(notice.recordedRosterSequence, now);
    } else if (!notice.fenced) {
        sponsor = from;
        fence.noteSponsored(sentAt);
    }
}

/// Tells the daemons that report here of a version as soon as it is known and at hand.
void ConfigurationController::State::pushNews(TimePoint now)
{
    if (replica.inForce().version <= pushedVersion)
        return;
    pushedVersion = replica.inForce().version;
    for (const auto& [id, client] : clients) {
        if (now - client.heardAt > 3 * context.options.pollPeriod || client.inForce >= pushedVersion)
            continue;
        blackboard.outbox.push_back(
            { .to = id, .message = noticeAfter(client.inForce, now), .address = client.address });
    }
}

ConfigurationController::ConfigurationController(
    Blackboard& blackboard, ConfigurationOptions options, TimePoint now)
    : m_state(std::make_unique<State>(blackboard, std::move(options), now))
{
}

ConfigurationController::~ConfigurationController() = default;

void ConfigurationController::receive(
    const DaemonId& from, const std::string& address, const ConfigurationReport& report, TimePoint now)
{
    m_state->refresh(now);
    m_state->takeReport(from, address, report, now);
    m_state->afterEvent(now);
}

void ConfigurationController::receive(
    const DaemonId& from, const std::string& address, const HeadNotice& notice, TimePoint now)
{
    m_state->refresh(now);
    m_state->takeNotice(from, address, notice, now);
    m_state->afterEvent(now);
}

void ConfigurationController::receive(
    const DaemonId& from, const std::string& address, const DocumentRequest& request, TimePoint now)
{
    m_state->refresh(now);
    const auto& replica = m_state->replica;
    if (replica.inForce().version > request.newerThan) {
        m_state->blackboard.outbox.push_back({ .to = from,
            .message = DocumentReply { .head = replica.inForce(), .document = replica.document() },
            .address = address });
    }
}

void ConfigurationController::receive(
    const DaemonId&, const std::string&, const DocumentReply& reply, TimePoint now)
{
    m_state->refresh(now);
    m_state->replica.takeDocument(reply.head, reply.document, now);
    m_state->afterEvent(now);
}

void ConfigurationController::receive(const StoreReply& reply, TimePoint now)
{
    m_state->refresh(now);
    m_state->context.store.receive(reply, now);
    m_state->afterEvent(now);
}

void ConfigurationController::step(TimePoint now)
{
    auto& state = *m_state;
    state.steppedAt = now;
    state.refresh(now);
    state.rosterKeeper.step(now);
    state.pollHead(now);
    state.replica.step(now);
    state.proposer.step(now);
    state.watcher.step(state.replica.head(), now);
    if (state.rosterKeeper.isRegistered() && now >= state.nextJudgement && state.judgesRegion()) {
        state.nextJudgement = now + 2 * state.context.options.pollPeriod;
        if (const auto* roster = state.fence.roster())
            state.judge.step(*roster, state.replica.head().version, now);
    }
    state.afterEvent(now);
    state.recorder.step(now);
    if (const auto* own = state.recorder.recorded(state.blackboard.dataCentre, state.blackboard.self);
        own != nullptr && own->incarnation == state.context.options.incarnation)
        state.fence.noteRecorded(own->rosterSequence, now);
    state.sendReports(now);
    state.pushNews(now);
}

TimePoint ConfigurationController::nextWake() const { return m_state->steppedAt + stepPeriod; }

void ConfigurationController::propose(const ConfigurationChange& change, TimePoint now)
{
    m_state->proposer.propose(change, now);
}

std::optional<ChangeState> ConfigurationController::changeState(const std::string& id) const
{
    return m_state->proposer.state(id);
}

void ConfigurationController::watchAcceptance(TimePoint until, TimePoint now)
{
    m_state->watcher.watch(until);
    m_state->watcher.step(m_state->replica.head(), now);
}

const AcceptanceProgress& ConfigurationController::progress() const { return m_state->watcher.progress(); }
void ConfigurationController::readHistory(uint64_t limit, HistoryCallback callback)
{
    m_state->versions.readHistory(m_state->replica.head().version, limit, std::move(callback));
}

void ConfigurationController::readVersion(uint64_t version, DocumentCallback callback)
{
    m_state->versions.readDocument(version, std::move(callback));
}

const std::string& ConfigurationController::document() const { return m_state->replica.document(); }
const ConfigurationHead& ConfigurationController::head() const { return m_state->replica.head(); }
const ConfigurationHead& ConfigurationController::inForce() const { return m_state->replica.inForce(); }

void ConfigurationController::announceStopped(TimePoint now)
{
    m_state->fence.retire();
    m_state->refresh(now);
    m_state->rosterKeeper.leave();
    m_state->rosterKeeper.step(now);
}

bool ConfigurationController::isOffRoster() const { return m_state->rosterKeeper.isOff(); }

} // namespace lentilbay
