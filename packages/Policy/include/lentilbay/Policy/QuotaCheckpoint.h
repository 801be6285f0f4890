// What a fleet has admitted of its quotas at one time, kept where it outlasts a restart of all daemons.
//
// One daemon of each data centre writes a checkpoint regularly, more often if an organisation may reach its
// quota within the next seconds. A daemon that starts while no other one runs reads the checkpoints of all
// data centres and restores its quotas from them, see SharedQuota::restore(). Times are those of the store's
// clock, because all clocks of the daemons may have started again.
#pragma once

#include "lentilbay/Policy/SharedQuota.h"

#include <limits>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lentilbay {

/// What was admitted of one organisation's quota.
struct QuotaUse {
    /// SharedQuota::fleetLevel(); if unknown, the bucket may have been full.
    double level = std::numeric_limits<double>::infinity();
    /// SharedQuota::windowParts()
    SharedQuota::WindowParts parts {};

    double inWindow() const;

    auto operator<=>(const QuotaUse&) const = default;
};

struct QuotaCheckpoint {
    /// When it was taken, by the store's clock.
    Duration takenAt {};
    /// The process that took it.
    uint64_t incarnation = 0;
    /// By the hash of the organisation's name; only organisations of whose quota the window holds use.
    std::unordered_map<uint64_t, QuotaUse> uses;

    bool operator==(const QuotaCheckpoint&) const = default;
};

/// A daemon that has restored its quotas writes no checkpoint for this long after its start. Daemons of the
/// same restart that start a little later then restore the same. If they restored what it has restored, the
/// most that may have been admitted unseen would count once more with each of them, and an organisation at
/// half of its quota be refused.
constexpr Duration writeDelayAfterRestore = std::chrono::milliseconds(700);

/// The interval at which checkpoints are written.
/// @param greatestUse the greatest fraction of its window that any organisation has used
/// @return std::nullopt if none needs to be written
std::optional<Duration> checkpointPeriod(double greatestUse);

/// Combines the checkpoints of several data centres, which may not have heard of all use. It has the time of
/// the newest one, and of each organisation the greatest use in each part of the window.
/// @param storeTime the present time of the store's clock
/// @return std::nullopt if none is young enough to restore from
std::optional<QuotaCheckpoint> combineCheckpoints(
    std::vector<QuotaCheckpoint> checkpoints, Duration storeTime, Duration window);

/// Whether a daemon restores its quotas from a checkpoint.
/// @param gap the time from the checkpoint to the start of the daemon's process
bool isRestorable(Duration gap);

/// Whether an organisation's use is restored. Far below its quota, the most that may have been admitted since
/// the checkpoint would refuse it for a whole window; its quota then begins as without a checkpoint.
bool isRestorable(const QuotaUse& use, const QuotaLimits& limits);

} // namespace lentilbay
