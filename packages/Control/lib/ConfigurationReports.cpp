// Reports of the version in force here, and the notices that answer them.
#include "ConfigurationState.h"
#include "lentilbay/Support/Hash.h"

#include <utility>

namespace lentilbay {
namespace {

/// Up to this fleet size a daemon without a recently confirmed head asks all other daemons; in a larger fleet
/// it asks only those of its region.
constexpr size_t smallFleetSize = 24;
/// After this time without an answer, the next daemon of the data centre becomes the coordinator.
constexpr Duration answerTimeout = std::chrono::milliseconds(2500);

int64_t microsecondsOf(TimePoint time) { return time.time_since_epoch().count(); }

} // namespace

/// This daemon and the other live daemons of its data centre in order of preference as coordinator.
std::vector<DaemonId> ConfigurationController::State::rankedDataCentreDaemons() const
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

DaemonId ConfigurationController::State::dataCentreCoordinator() const
{
    const auto members = rankedDataCentreDaemons();
    return members[skippedCoordinators % members.size()];
}

bool ConfigurationController::State::isRegionCoordinator() const
{
    return std::none_of(blackboard.members.begin(), blackboard.members.end(), [this](const auto& it) {
        const auto& [id, member] = it;
        return member.region == blackboard.region && member.status == MemberStatus::Alive
            && id < blackboard.self;
    });
}

/// The daemons to ask whether the version is the newest, if the coordinator cannot confirm it.
std::map<DaemonId, std::string> ConfigurationController::State::confirmationPeers() const
{
    std::map<DaemonId, std::string> out;
    for (const auto& [id, member] : blackboard.members) {
        if (member.region == blackboard.region && member.status != MemberStatus::Dead)
            out.emplace(id, member.address);
    }
    if (const auto* roster = fence.roster()) {
        const bool isSmallFleet = roster->members.size() <= smallFleetSize;
        for (const auto& member : roster->members) {
            if (isPresent(member) && (isSmallFleet || member.region == blackboard.region))
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
            .registered = rosterClient.isRegistered() },
        .address = address });
}

void ConfigurationController::State::sendReports(TimePoint now)
{
    if (now < nextReport)
        return;
    nextReport = now + context.options.pollPeriod;
    reportedFloor = floor;
    if (now - lastAnswerAt > answerTimeout) {
        ++skippedCoordinators;
        lastAnswerAt = now;
    }
    const auto headConfirmedAt = fence.headConfirmedAt();
    const bool isFresh = headConfirmedAt && now - *headConfirmedAt < context.options.freshnessPeriod / 2;
    if (!isFresh) {
        const bool hasSponsor = !sponsor.empty() && floor > 0 && !rosterClient.isRegistered();
        for (const auto& [id, address] : confirmationPeers()) {
            if (!hasSponsor || id == sponsor)
                sendReport(id, address, now);
        }
        if (hasSponsor && now - lastAnswerAt > context.options.freshnessPeriod / 2)
            sponsor = DaemonId();
        return;
    }
    if (const auto to = dataCentreCoordinator(); to != blackboard.self)
        sendReport(to, "", now);
    else
        lastAnswerAt = now;
}

HeadNotice ConfigurationController::State::noticeAfter(uint64_t version, TimePoint now) const
{
    const auto headConfirmedAt = fence.headConfirmedAt();
    return { .head = replica.head(),
        .headAge = headConfirmedAt ? (now - *headConfirmedAt).count() : -1,
        .rosterSequence = rosterClient.latestSequence(),
        .fenced = fence.isFenced(),
        .registered = fence.isAdmitted(),
        .deltas = replica.deltasAfter(version) };
}

void ConfigurationController::State::handleReport(
    const DaemonId& from, const std::string& address, const ConfigurationReport& report, TimePoint now)
{
    reportingDaemons[from] = { .address = address, .inForce = report.inForce, .lastReportAt = now };
    auto answer = noticeAfter(report.inForce, now);
    answer.sentAt = report.sentAt;
    if (report.registered)
        recordAcknowledgement(from, report, answer);
    else
        becomeSponsor(from, report, answer, now);
    blackboard.outbox.push_back({ .to = from, .message = std::move(answer), .address = address });
}

void ConfigurationController::State::recordAcknowledgement(
    const DaemonId& from, const ConfigurationReport& report, HeadNotice& answer)
{
    // The daemon may still start work under the earlier sponsorship until that expires, so its entry stays;
    // the expiry time is not renewed.
    if (const auto sponsored = sponsoredDaemons.find(from); sponsored != sponsoredDaemons.end())
        sponsored->second.floor = report.floor;
    const auto centre = dataCentreOf(from);
    if (!centre)
        return;
    acknowledgementWriter.record(*centre, from,
        { .incarnation = report.incarnation,
            .floor = report.floor,
            .rosterSequence = report.rosterSequence });
    const auto* recorded = acknowledgementWriter.recorded(*centre, from);
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

/// Sponsors a daemon that could not register: from now on the floor of this daemon is not above that of the
/// other one.
void ConfigurationController::State::becomeSponsor(
    const DaemonId& from, const ConfigurationReport& report, HeadNotice& answer, TimePoint now)
{
    if (fence.isFenced() || !fence.isAdmitted() || report.floor == 0 || report.floor < floor)
        return;
    sponsoredDaemons[from] = { .floor = report.floor, .lastReportAt = now };
    answer.recordedFloor = report.floor;
}

void ConfigurationController::State::handleNotice(
    const DaemonId& from, const std::string& address, const HeadNotice& notice, TimePoint now)
{
    if (notice.head.version > 0 && notice.head.version >= replica.head().version)
        replica.setFallbackPeer(from, address);
    replica.applyDeltas(notice.deltas, now);
    const bool isNewest = notice.head.version > 0 && replica.noteHead(notice.head, now);
    rosterClient.noteSequence(notice.rosterSequence);
    if (notice.sentAt == 0)
        return;
    lastAnswerAt = now;
    const TimePoint sentAt { Duration(notice.sentAt) };
    if (isNewest && notice.headAge >= 0)
        fence.noteHeadConfirmed(sentAt - Duration(notice.headAge));
    if (notice.registered)
        fence.noteReachable(from, sentAt);
    if (notice.recordedFloor == 0)
        return;
    if (rosterClient.isRegistered()) {
        fence.noteRecorded(notice.recordedRosterSequence, now);
    } else if (!notice.fenced) {
        sponsor = from;
        fence.noteSponsored(sentAt);
    }
}

/// Sends a new version to the daemons that report here as soon as it is in force.
void ConfigurationController::State::pushNewVersion(TimePoint now)
{
    if (replica.inForce().version <= pushedVersion)
        return;
    pushedVersion = replica.inForce().version;
    for (const auto& [id, daemon] : reportingDaemons) {
        if (now - daemon.lastReportAt > 3 * context.options.pollPeriod || daemon.inForce >= pushedVersion)
            continue;
        blackboard.outbox.push_back(
            { .to = id, .message = noticeAfter(daemon.inForce, now), .address = daemon.address });
    }
}

} // namespace lentilbay
