// Schedules of load and faults: steps in any order and combination, which RapidCheck generates and shrinks.
#pragma once

#include "lentilbay/Invariants/Checker.h"
#include "lentilbay/VirtualFleet/VirtualFleet.h"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace lentilbay {

enum class ScheduleAction : uint8_t {
    Call,
    Burst,
    CallKeyed,
    Kill,
    Restart,
    Pause,
    Resume,
    Drain,
    Cut,
    Heal,
    KillEndpoint,
    RestartEndpoint,
    LeaveEndpoint,
    SlowEndpoint,
};

struct ScheduleStep {
    ScheduleAction action = ScheduleAction::Call;
    /// All indices are taken modulo the number of daemons, engines or tiers.
    size_t daemon = 0;
    /// The peer of a Cut or Heal, or the index of the endpoint.
    size_t other = 0;
    size_t tier = 0;
    /// Selects the request's size, organisation and idempotency key, or whether SlowEndpoint slows or
    /// restores.
    uint32_t size = 0;
    /// How long the fleet runs after the step.
    Duration then {};
};

std::ostream& operator<<(std::ostream& out, const ScheduleStep& step);

struct Schedule {
    uint64_t seed = 1;
    size_t daemons = 3;
    LinkFaults links;
    std::vector<ScheduleStep> steps;
};

struct ScheduleResult {
    std::vector<Violation> violations;
    /// Callers still waiting long after all faults were cleared.
    size_t unanswered = 0;
    size_t calls = 0;
    size_t answered = 0;
    size_t shed = 0;
    uint64_t preempted = 0;
};

/// Runs the steps, clears all faults, waits until no caller is waiting, and checks the invariants.
ScheduleResult runSchedule(const Schedule& schedule);

/// One line for each failure; empty if there is none.
std::string describeFailures(const ScheduleResult& result);

} // namespace lentilbay
