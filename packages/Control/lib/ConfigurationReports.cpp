// Reports of what is in force here, and the notices that answer them.
#include "ConfigurationState.h"
#include "lentilbay/Support/Hash.h"

#include <utility>

namespace lentilbay {
namespace {

/// Up to this size of the fleet a daemon that lacks a fresh head asks every other one, beyond it those of its
/// region.
constexpr size_t smallFleet = 24;
/// Reports that nobody answers for so long go to the next daemon of the data centre.
constexpr Duration answerTimeout = std::chrono::milliseconds(2500);

int64_t microsecondsOf(TimePoint time) { return time.time_since_epoch().count(); }

} // namespace

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

} // namespace lentilbay
