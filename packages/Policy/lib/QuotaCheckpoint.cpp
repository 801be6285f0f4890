// When checkpoints of quotas are written, and how several of them are combined.
#include "lentilbay/Policy/QuotaCheckpoint.h"

#include <algorithm>
#include <numeric>

namespace lentilbay {
namespace {

/// The use after the last checkpoint is restored as the most that may have been admitted, so an organisation
/// near its quota gets less after a restart the older the checkpoint is.
constexpr Duration periodNearQuota = std::chrono::milliseconds(500);
constexpr Duration usualPeriod = std::chrono::seconds(2);
/// The fraction of its window from which an organisation is near its quota.
constexpr double nearQuota = 0.5;
/// The use of an organisation is restored from this fraction of its window on. Below, the most that may have
/// been admitted since the checkpoint is several times what was.
constexpr double minRestored = 0.2;
/// A checkpoint older than this many windows says nothing about the present one.
constexpr int maxAgeWindows = 2;
/// The use after a checkpoint is restored as the most that was possible. After a longer gap than the period
/// of checkpoints and a restart explain, as during an outage of the store, that would refuse organisations
/// far below their quota for a whole window.
constexpr Duration maxGapAfterCheckpoint = std::chrono::seconds(3);

/// Adds the use of an older checkpoint to that of one taken later by `difference`.
void raiseTo(const QuotaUse& older, Duration difference, Duration window, QuotaUse& use)
{
    constexpr auto n = static_cast<int64_t>(SharedQuota::windowPartCount);
    // A part counts as admitted at its end, so a shift is rounded to the later part.
    const int64_t shift = difference * n / window;
    for (int64_t i = shift; i < n; ++i)
        use.parts[i - shift] = std::max(use.parts[i - shift], older.parts[i]);
}

} // namespace

double QuotaUse::inWindow() const { return std::accumulate(parts.begin(), parts.end(), 0.0); }

std::optional<Duration> checkpointPeriod(double greatestUse)
{
    if (greatestUse <= 0)
        return std::nullopt;
    return greatestUse > nearQuota ? periodNearQuota : usualPeriod;
}

std::optional<QuotaCheckpoint> combineCheckpoints(
    std::vector<QuotaCheckpoint> checkpoints, Duration storeTime, Duration window)
{
    // A time in the future is that of a store whose clock was reset.
    std::erase_if(checkpoints, [&](const auto& it) {
        return it.takenAt > storeTime || storeTime - it.takenAt > maxAgeWindows * window;
    });
    if (checkpoints.empty())
        return std::nullopt;
    std::ranges::sort(checkpoints, std::ranges::greater(), &QuotaCheckpoint::takenAt);
    auto out = checkpoints.front();
    for (const auto& it : checkpoints) {
        for (const auto& [organisation, use] : it.uses) {
            // The bucket of an organisation that the newest checkpoint lacks was full then.
            raiseTo(use, out.takenAt - it.takenAt, window, out.uses[organisation]);
        }
    }
    return out;
}

bool isRestorable(Duration gap) { return gap <= maxGapAfterCheckpoint; }

bool isRestorable(const QuotaUse& use, const QuotaLimits& limits)
{
    return use.inWindow() > minRestored * limits.windowTokens;
}

} // namespace lentilbay
