// The blackboard of the edge daemon.
#include "lentilbay/Edge/EdgeState.h"

#include "EdgeTimes.h"
#include "lentilbay/Edge/EdgeRequest.h"

#include <algorithm>

namespace lentilbay::edge {
namespace {

/// Before the bound of revocation: the time from judging a key to the endpoint's start, and late timers.
constexpr Duration revocationMargin = std::chrono::milliseconds(400);
/// A bucket of the bare burst refuses rushes that the quota's window allows. This part of a window's tokens
/// more, and a fleet that is killed in a rush still stays within the bound (see the tests of SharedQuota).
constexpr double rushPart = 0.19;
/// The part of the allowed overshoot that is used; the rest is for what daemons admit before they hear of
/// each other.
constexpr double overshootPart = 0.4;
/// In a large fleet the loads of other places are up to a second old, the time of a whole answer: all daemons
/// see the same free slot and send to it at once.
constexpr Headroom lateHeardHeadroom { .sameRegion = 2, .otherRegion = 3 };
/// The part of the fleet's repeat budget that is used: requests are counted at other moments than the users
/// do.
constexpr double repeatPart = 0.8;

} // namespace

EdgeState::EdgeState(asio::io_context& context, platform::ProcessSettings given, uint64_t seed)
    : context(context)
    , settings(std::move(given))
    , places { .ownDataCentre = settings.dataCentre, .regions = settings.regions }
    , book(places, seed)
    , line(book)
    , pools(context)
    , peers(settings.daemon.text())
    , random(seed + 1)
{
}

std::optional<Duration> EdgeState::routesAge(TimePoint now) const
{
    if (!routes || !routesConfirmedAt)
        return std::nullopt;
    return now - *routesConfirmedAt;
}

bool EdgeState::canJudgeKeys(TimePoint now) const
{
    const auto age = routesAge(now);
    return age && *age < settings.bounds.keyRevocation - revocationMargin;
}

SharedQuota& EdgeState::quota(const RoutedOrganisation& organisation, TimePoint now)
{
    const auto limits = organisation.quota ? quotaLimits(*organisation.quota) : QuotaLimits {};
    return m_quotas.try_emplace(organisation.name, limits, settings.isFirstStart, quotaSharers(), now)
        .first->second;
}

QuotaLimits EdgeState::quotaLimits(const TokenQuota& quota) const
{
    const auto& bounds = settings.bounds;
    const double refill = quota.tokensPerSecond * toSeconds(bounds.quotaWindow);
    return { .tokensPerSecond = quota.tokensPerSecond,
        .burstTokens = quota.burstTokens + refill * rushPart,
        .window = bounds.quotaWindow,
        .windowTokens = (refill + quota.burstTokens) * (1 + bounds.quotaOvershoot * overshootPart) };
}

QuotaSharers EdgeState::quotaSharers() const
{
    return { .known = peers.known(),
        .silent = peers.silent(),
        .heardEvery = peers.known() > smallFleet ? otherRegionPeriod : peerPeriod };
}

RepeatLimits EdgeState::repeatLimits() const
{
    return { .ratio = settings.bounds.retryRatio * repeatPart,
        .slack = settings.bounds.retrySlack * repeatPart / static_cast<double>(peers.known()),
        .window = settings.bounds.retryWindow };
}

void EdgeState::step(TimePoint now)
{
    // Starting a request may end it at once and ask for another step.
    if (m_isStepping)
        return;
    m_isStepping = true;
    const bool isLarge = peers.known() > smallFleet;
    book.setHeadroom(isLarge ? lateHeardHeadroom : Headroom {});
    line.setOptions({ .ownPart = 1.0 / static_cast<double>(peers.known()),
        .longestReturn = settings.bounds.longestReturn });
    for (bool again = true; again;) {
        auto decisions = line.step(now);
        again = false;
        for (auto& it : decisions.started) {
            if (auto request = requests.find(it.number); request != requests.end()) {
                const auto keep = request->second;
                keep->start(std::move(it.endpoint), now);
            } else {
                it.endpoint->ended({}, SendEnd::Neutral, false, now);
            }
        }
        for (const auto& it : decisions.turnedAway) {
            if (auto request = requests.find(it.number); request != requests.end()) {
                const auto keep = request->second;
                keep->turnAway(it.comeBackIn, now);
            }
        }
    }
    m_isStepping = false;
}

} // namespace lentilbay::edge
