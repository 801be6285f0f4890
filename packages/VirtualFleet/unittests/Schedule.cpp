// Runs a schedule on a virtual fleet and checks the invariants.
#include "Schedule.h"

#include <algorithm>
#include <ostream>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

constexpr size_t engines = 2;
constexpr size_t tiers = 3;
constexpr Duration joinTime = 4s;
constexpr Duration longestDeadline = 20s;

const char* const actionNames[] = { "Call", "Burst", "CallKeyed", "Kill", "Restart", "Pause", "Resume",
    "Drain", "Cut", "Heal", "KillEndpoint", "RestartEndpoint", "LeaveEndpoint", "SlowEndpoint" };

std::shared_ptr<const Configuration> configuration()
{
    auto out = std::make_shared<Configuration>();
    out->version = 1;
    out->objective = { .goodput = 2, .wastedPrefill = 1 };
    out->tiers = {
        { .name = TierId("tier-0"), .rank = 0, .preemptible = false, .answerWithin = 8s, .goodputWeight = 4 },
        { .name = TierId("tier-1"), .rank = 1, .answerWithin = 12s, .goodputWeight = 2 },
        { .name = TierId("tier-2"), .rank = 2, .answerWithin = longestDeadline }
    };
    out->organisations = { { .name = OrganisationId("press") }, { .name = OrganisationId("society") } };
    for (auto& it : out->organisations)
        it.tiers = { TierId("tier-0"), TierId("tier-1"), TierId("tier-2") };
    out->services = { { .name = ServiceId("line-edit") },
        { .name = ServiceId("corrections"), .kind = ServiceKind::Plain, .idempotent = false } };
    for (size_t i = 0; i < engines; ++i) {
        out->endpoints.push_back({ .name = EndpointId("engine-" + std::to_string(i)),
            .region = RegionId("Yeongnam"),
            .dataCentre = DataCentreId("Busan"),
            .services = { ServiceId("line-edit") },
            .generation = "a",
            .slots = 3,
            .kvTokens = 200'000 });
    }
    out->endpoints.push_back({ .name = EndpointId("records"),
        .region = RegionId("Yeongnam"),
        .dataCentre = DataCentreId("Busan"),
        .services = { ServiceId("corrections") },
        .generation = "a",
        .slots = 4 });
    return out;
}

VirtualRequest requestOf(const ScheduleStep& step)
{
    const auto tier = step.tier % tiers;
    VirtualRequest out { .organisation = OrganisationId(step.size % 2 == 0 ? "press" : "society"),
        .tier = TierId("tier-" + std::to_string(tier)),
        .service = ServiceId("line-edit"),
        .promptTokens = 100 + step.size * 400,
        .answerTokens = 5 + step.size * 3 };
    // Top-tier requests with short answers get a deadline too short to wait for long lowest-tier answers.
    if (tier == 0 && step.size < 20)
        out.deadline = 1500ms;
    if (tier == 2 && step.size >= 10)
        out.answerTokens *= 8;
    return out;
}

VirtualRequest keyedRequestOf(const ScheduleStep& step)
{
    return { .organisation = OrganisationId("press"),
        .tier = TierId("tier-" + std::to_string(step.tier % tiers)),
        .service = ServiceId("corrections"),
        .idempotencyKey = "key-" + std::to_string(step.size) };
}

void applyStep(VirtualFleet& fleet, const ScheduleStep& step)
{
    const auto daemon = step.daemon % fleet.daemons();
    const auto other = step.other % fleet.daemons();
    const auto endpoint = step.other % engines;
    switch (step.action) {
    case ScheduleAction::Call:
        return fleet.call(daemon, requestOf(step));
    case ScheduleAction::Burst:
        for (int i = 0; i < 24; ++i)
            fleet.call((daemon + static_cast<size_t>(i % 3)) % fleet.daemons(), requestOf(step));
        return;
    case ScheduleAction::CallKeyed:
        return fleet.call(daemon, keyedRequestOf(step));
    case ScheduleAction::Kill:
        return fleet.kill(daemon);
    case ScheduleAction::Restart:
        return fleet.restart(daemon);
    case ScheduleAction::Pause:
        return fleet.pause(daemon);
    case ScheduleAction::Resume:
        return fleet.resume(daemon);
    case ScheduleAction::Drain:
        return fleet.drain(daemon);
    case ScheduleAction::Cut:
        return fleet.cut(daemon, other);
    case ScheduleAction::Heal:
        return fleet.heal(daemon, other);
    case ScheduleAction::KillEndpoint:
        return fleet.killEndpoint(endpoint);
    case ScheduleAction::RestartEndpoint:
        return fleet.restartEndpoint(endpoint);
    case ScheduleAction::LeaveEndpoint:
        return fleet.setEndpointLeaving(0);
    case ScheduleAction::SlowEndpoint:
        return fleet.slowEndpoint(endpoint, step.size % 2 == 0 ? 6 : 1);
    }
}

void clearFaults(VirtualFleet& fleet)
{
    fleet.setLinkFaults({});
    for (size_t i = 0; i < fleet.daemons(); ++i) {
        fleet.resume(i);
        for (size_t k = 0; k < i; ++k)
            fleet.heal(i, k);
    }
    for (size_t i = 0; i < engines; ++i) {
        fleet.restartEndpoint(i);
        fleet.slowEndpoint(i, 1);
    }
}

} // namespace

std::ostream& operator<<(std::ostream& out, const ScheduleStep& step)
{
    return out << actionNames[static_cast<size_t>(step.action)] << "(daemon " << step.daemon << ", other "
               << step.other << ", tier " << step.tier << ", size " << step.size << ", then "
               << toMilliseconds(step.then) << " ms)";
}

ScheduleResult runSchedule(const Schedule& schedule)
{
    VirtualFleetOptions options {
        .seed = schedule.seed, .configuration = configuration(), .links = schedule.links
    };
    options.localities.assign(schedule.daemons, { "Yeongnam", "Busan" });
    VirtualFleet fleet(options);
    fleet.run(joinTime);
    for (const auto& step : schedule.steps) {
        applyStep(fleet, step);
        fleet.run(step.then);
    }
    clearFaults(fleet);
    fleet.runUntilAnswered(longestDeadline + 40s);
    ScheduleResult result { .unanswered = fleet.openCallers() };
    const auto records = fleet.records();
    result.violations = checkInvariants(records, { .idleOverhead = 10ms, .answerDelay = 5ms });
    result.calls = records.callers.size();
    for (const auto& it : records.callers) {
        result.answered += it.end == CallerEnd::Answered ? 1 : 0;
        result.shed += it.end == CallerEnd::Refused ? 1 : 0;
    }
    for (size_t i = 0; i < fleet.daemons(); ++i) {
        if (fleet.isUp(i))
            result.preempted += fleet.plane(i).entry().counters().preempted;
    }
    return result;
}

std::string describeFailures(const ScheduleResult& result)
{
    std::string out;
    if (result.unanswered > 0)
        out += std::to_string(result.unanswered) + " callers were not answered\n";
    for (const auto& it : result.violations)
        out += printed(it, TimePoint(std::chrono::seconds(1'000))) + "\n";
    return out;
}

} // namespace lentilbay
