// Random schedules: load and faults at any moment, together or twice, as steps that RapidCheck draws and
// shrinks.
#pragma once

#include "lentilbay/Invariants/Checker.h"
#include "lentilbay/VirtualFleet/VirtualFleet.h"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace lentilbay {

enum class Act : uint8_t {
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
    Act act = Act::Call;
    size_t daemon = 0;
    size_t other = 0;
    /// The tier's number for calls.
    size_t tier = 0;
    uint32_t size = 0;
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
    std::vector<Breach> breaches;
    /// Callers that had no end long after all faults were mended.
    size_t unanswered = 0;
    size_t calls = 0;
    size_t answered = 0;
    size_t shed = 0;
    uint64_t preempted = 0;
};

/// Runs the steps, mends all faults, waits until all callers have their end, and judges the run.
ScheduleResult runSchedule(const Schedule& schedule);

/// One line for each thing that is wrong; empty where nothing is.
std::string faultsOf(const ScheduleResult& result);

} // namespace lentilbay
