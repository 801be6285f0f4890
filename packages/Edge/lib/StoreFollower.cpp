// Reading and following of one store table.
#include "lentilbay/Edge/StoreFollower.h"

#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"

#include <algorithm>
#include <fmt/format.h>

namespace lentilbay::edge {
namespace {

/// Many times the longest round trip.
constexpr Duration connectTimeout = std::chrono::milliseconds(600);
/// A connection that was idle for longer may have died without a reset and is not used again. A daemon that
/// reads the store itself calls more often than this.
constexpr Duration maxIdleTime = std::chrono::seconds(1);
/// Added to the store's long-poll wait: several times its usual response time, and short enough to detect a
/// dead connection.
constexpr Duration answerTimeout = std::chrono::milliseconds(800);
/// The timeout while the store is unreachable. Other calls start meanwhile, so it only decides how slow a
/// store can still be read.
constexpr Duration recoveryAnswerTimeout = std::chrono::milliseconds(2000);
/// The longest pause within an answer. A large answer takes long on a busy link; asking for it again from the
/// start would add to the load that delays it.
constexpr Duration maxAnswerPause = std::chrono::milliseconds(800);
/// Bounds a call whose answer arrives in ever smaller pieces.
constexpr Duration maxCallDuration = std::chrono::seconds(20);
/// Several times a table of the largest fleet.
constexpr size_t maxResponseBytes = 8'388'608;
/// The time between the starts of two calls while the store is unreachable grows with consecutive failures.
/// The upper bounds and the delay of deletions together must stay below the three seconds after which a
/// daemon must act on what the store says.
constexpr Duration firstRetryDelay = std::chrono::milliseconds(150);
constexpr Duration maxRetryDelay = std::chrono::milliseconds(250);
/// The upper bound if a peer reaches the store: then only this daemon is cut off, and failed calls are
/// billed.
constexpr Duration maxRetryDelayAlone = std::chrono::milliseconds(600);
/// While another daemon retries at the delays above and has not reached the store either, this daemon uses
/// delays longer by this factor.
constexpr double passiveRetryFactor = 3;
/// How long a peer's contact to the store counts as evidence that the store is reachable.
constexpr Duration peerContactLifetime = std::chrono::seconds(3);
/// Delays are drawn between this fraction and the whole, so that daemons do not retry at the same moment.
constexpr double minRetryFraction = 0.75;
/// How often at least a follower that skips polling checks whether it must read, and at most.
constexpr Duration maxPassiveCheckPeriod = std::chrono::milliseconds(400);
constexpr Duration minPassiveCheckPeriod = std::chrono::milliseconds(20);
/// The minimum time between the starts of two calls for readNow().
constexpr Duration immediateSpacing = std::chrono::milliseconds(50);
/// Within this time after the store has come back from an older copy, what it has lost is written again.
constexpr Duration rewriteTime = std::chrono::milliseconds(2100);

std::string hostOf(const asio::ip::tcp::endpoint& address)
{
    return fmt::format("{}:{}", address.address().to_string(), address.port());
}
/// An answer that takes longer than a response time was held until there was a change.
constexpr Duration minHeldTime = std::chrono::milliseconds(100);

} // namespace

struct StoreFollower::Call {
    explicit Call(asio::io_context& context)
        : timeout(context)
    {
    }
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;
    ~Call()
    {
        if (connection)
            connection->close();
    }

    std::shared_ptr<http::ClientConnection> connection;
    /// The connection had carried a call before.
    bool isReused = false;
    asio::steady_timer timeout;
    /// How long the store may hold the call.
    Duration wait {};
    TimePoint startedAt {};
    TimePoint sentAt {};
    /// When the latest bytes of the answer arrived.
    std::optional<TimePoint> receivedAt;
    /// The call asks for what follows a position of the current era.
    bool hasPosition = false;
    int status = 0;
    std::optional<uint64_t> era;
    std::string body;
};

StoreFollower::StoreFollower(asio::io_context& context, StoreFollowerOptions options, Callbacks callbacks)
    : m_context(context)
    , m_options(std::move(options))
    , m_callbacks(std::move(callbacks))
    , m_random(m_options.seed)
    , m_timer(context)
    , m_replica(m_options.replica)
{
}

StoreFollower::~StoreFollower()
{
    if (m_idleConnection)
        m_idleConnection->close();
}

void StoreFollower::start() { startCall(); }

void StoreFollower::pollNow()
{
    if (m_openCalls.empty())
        scheduleCall(Duration::zero());
}

void StoreFollower::readNow(TimePoint now)
{
    // A call that is held by the store confirms the view as of when it was sent.
    const bool isReading = std::ranges::any_of(
        m_openCalls, [&](const auto& it) { return it->wait == Duration::zero() && it->sentAt >= now; });
    if (isReading || std::exchange(m_mustRead, true))
        return;
    scheduleCall(std::max(Duration::zero(), m_callStarted + immediateSpacing - now));
}

void StoreFollower::startCall()
{
    m_callStarted = bootNow();
    ++m_calls;
    // Callbacks refer to the call weakly: a call that has been dropped ignores its answer and its timeout.
    auto call = std::make_shared<Call>(m_context);
    const std::weak_ptr<Call> weak = call;
    m_openCalls.push_back(call);
    call->startedAt = m_callStarted;
    call->wait = std::exchange(m_mustRead, false) ? Duration::zero() : longPollWait();
    armTimeout(call, m_isStoreUnreachable ? recoveryAnswerTimeout : answerTimeout + call->wait);
    if (m_idleConnection && m_idleConnection->isReusable()
        && m_callStarted - m_idleConnection->idleSince() < maxIdleTime) {
        call->connection = std::move(m_idleConnection);
        call->isReused = true;
        send(call);
        return;
    }
    if (m_idleConnection)
        std::exchange(m_idleConnection, nullptr)->close();
    call->connection = std::make_shared<http::ClientConnection>(m_context);
    call->connection->connect(m_options.store, connectTimeout, [this, weak](bool connected) {
        const auto it = weak.lock();
        if (!it)
            return;
        if (connected)
            send(it);
        else
            handleFailure(it, "could not connect");
    });
}

void StoreFollower::armTimeout(const std::shared_ptr<Call>& call, Duration wait)
{
    call->timeout.expires_after(wait);
    call->timeout.async_wait([this, weak = std::weak_ptr<Call>(call)](std::error_code ec) {
        const auto it = weak.lock();
        if (!it || ec)
            return;
        const auto now = bootNow();
        const auto end = std::min(
            it->receivedAt.value_or(it->startedAt) + maxAnswerPause, it->startedAt + maxCallDuration);
        if (it->receivedAt && now < end)
            armTimeout(it, end - now);
        else
            handleFailure(it, "timed out waiting for the answer");
    });
}

void StoreFollower::recordReceived(const std::shared_ptr<Call>& call, TimePoint now)
{
    // The answers to the other calls would compete with this one for the link.
    if (!std::exchange(call->receivedAt, now))
        std::erase_if(m_openCalls, [](const auto& it) { return !it->receivedAt; });
}

bool StoreFollower::isReceiving(TimePoint now) const
{
    return std::ranges::any_of(m_openCalls,
        [&](const auto& it) { return it->receivedAt && now - *it->receivedAt < maxAnswerPause; });
}

Duration StoreFollower::longPollWait() const
{
    const bool hasNewsToRead = !m_replica.covered() || m_isBehind || m_isStoreUnreachable;
    return hasNewsToRead ? Duration {} : m_options.wait;
}

void StoreFollower::send(const std::shared_ptr<Call>& call)
{
    const auto host = hostOf(m_options.store);
    const auto covered = m_replica.covered();
    auto request = covered ? platform::followRowsRequest(host, m_options.table, covered->number,
                       static_cast<unsigned>(call->wait / std::chrono::milliseconds(1)))
                           : platform::readRowsRequest(host, m_options.table, m_replica.nextPage());
    call->hasPosition = covered || !m_replica.nextPage().empty();
    call->sentAt = bootNow();
    const std::weak_ptr<Call> weak = call;
    call->connection->exchange(std::move(request), false,
        { .head =
                [this, weak](const http::HttpResponseHead& head) {
                    if (const auto it = weak.lock()) {
                        it->status = head.status;
                        it->era = platform::decodeStoreEra(head.headers);
                        recordReceived(it, bootNow());
                    }
                    return true;
                },
            .body =
                [this, weak](std::string_view piece) {
                    const auto it = weak.lock();
                    if (!it)
                        return;
                    if (it->body.size() + piece.size() > maxResponseBytes) {
                        handleFailure(it, "the response is too long");
                        return;
                    }
                    it->body += piece;
                    recordReceived(it, bootNow());
                },
            .complete =
                [this, weak] {
                    if (const auto it = weak.lock())
                        handleAnswer(it);
                },
            .failed =
                [this, weak](http::FailurePoint) {
                    if (const auto it = weak.lock())
                        handleFailure(it, "connection closed before the answer was complete");
                } });
}

void StoreFollower::handleAnswer(const std::shared_ptr<Call>& call)
{
    const auto now = bootNow();
    if (!isCurrent(call, now))
        return;
    if (call->status == platform::statusHistoryGone) {
        logEvent(Event::StoreHistoryLost, { { "table", m_options.table } });
        m_replica.forgetPosition();
        endCalls(call);
        scheduleCall(Duration::zero());
        return;
    }
    if (call->status != 200) {
        handleFailure(call, fmt::format("status {}", call->status));
        return;
    }
    const auto decoded
        = outcomeOf<platform::StoreRows>([&] { return platform::decodeRows(call->body, m_replica.era()); });
    if (const auto* failure = std::get_if<Failure>(&decoded)) {
        handleFailure(call, failure->detail);
        return;
    }
    if (m_isStoreUnreachable) {
        recordContact(now, now);
        m_replica.reconnected(m_outage.length, m_outage.endedAt);
        m_isStoreUnreachable = false;
        logEvent(Event::PlatformBack,
            { { "table", m_options.table },
                { "view_age_ms", m_confirmedAt ? (now - *m_confirmedAt) / std::chrono::milliseconds(1) : -1 },
                { "failures", static_cast<int64_t>(m_failuresInRow) } });
    }
    m_contactAt = std::max(m_contactAt, now);
    m_answeredAt = now;
    m_failuresInRow = 0;
    m_isBehind = false;
    endCalls(call);
    if (m_replica.covered() && now - call->sentAt >= minHeldTime)
        m_heldSince = call->sentAt;
    m_isReportingSnapshot = !m_replica.covered();
    report(m_replica.apply(std::get<platform::StoreRows>(decoded), now));
    m_heldSince.reset();
    const bool isComplete = m_replica.covered().has_value();
    if (isComplete)
        confirm(call->sentAt);
    const auto next = m_callStarted + m_options.spacing;
    scheduleCall(isComplete && next > now ? next - now : Duration::zero());
}

bool StoreFollower::isCurrent(const std::shared_ptr<Call>& call, TimePoint now)
{
    const auto era = call->era.value_or(m_replica.era());
    if (era < m_replica.era()) {
        handleFailure(call, fmt::format("answer of era {}, which is over", era));
        return false;
    }
    if (era == m_replica.era())
        return true;
    enterEra(era, now);
    if (m_callbacks.eraChanged)
        m_callbacks.eraChanged(era);
    // What follows a position of the former era does not follow from one of this era.
    return !call->hasPosition;
}

void StoreFollower::enterEra(uint64_t era, TimePoint now)
{
    const bool hadRead = m_replica.covered() || !m_replica.nextPage().empty();
    if (!m_replica.enterEra(era) || !hadRead)
        return;
    if (m_isBehind)
        m_incompleteUntil = now + rewriteTime;
    m_isBehind = false;
    m_openCalls.clear();
    scheduleCall(fromSeconds(toSeconds(m_options.eraReadSpread) * m_random.fraction()));
}

void StoreFollower::endCalls(const std::shared_ptr<Call>& answered)
{
    m_idleConnection = std::exchange(answered->connection, nullptr);
    m_openCalls.clear();
}

void StoreFollower::report(const std::vector<RowChange>& changes)
{
    for (const auto& it : changes) {
        switch (it.kind) {
        case RowChange::Kind::Written:
            m_callbacks.changed(it.row);
            break;
        case RowChange::Kind::Deleted:
            m_callbacks.deleted(it.row.key);
            break;
        case RowChange::Kind::Lost:
            if (m_callbacks.lost)
                m_callbacks.lost(it.row.key);
            break;
        }
    }
}

void StoreFollower::applyDueChanges(TimePoint now)
{
    // Without contact to the store, a peer may have confirmed that an entry was not written again.
    report(m_replica.takeDue(m_isStoreUnreachable ? m_confirmedAt : TimePoint::max(), now));
}

void StoreFollower::handleFailure(const std::shared_ptr<Call>& call, const std::string& reason)
{
    ++m_failures;
    ++m_failuresInRow;
    std::erase(m_openCalls, call);
    if (std::exchange(m_isStoreUnreachable, true))
        return; // The next call is scheduled already.
    const auto now = bootNow();
    m_unreachableSince = now;
    logEvent(Event::PlatformAway, { { "table", m_options.table }, { "reason", reason } });
    // A reused connection may have died while the store is reachable.
    scheduleCall(call->isReused && call->status == 0 ? Duration::zero() : retryDelay(now));
}

bool StoreFollower::isReachedByPeer(TimePoint now) const
{
    return m_peerContactAt > m_unreachableSince && now - m_peerContactAt < peerContactLifetime;
}

void StoreFollower::recordContact(TimePoint at, TimePoint now)
{
    // A call that the store holds is no outage. Whether calls of this daemon fail may show only after a peer
    // has reached the store again.
    const auto gap = at - m_contactAt;
    m_contactAt = std::max(m_contactAt, at);
    if (gap < m_options.replica.minOutageToExpire)
        return;
    // An outage ends with the first contact of any daemon: endpoints write their entries again from then on.
    // The view of a peer is dated by its call, which may have been sent before the end.
    m_outage = { .length = gap, .endedAt = now };
    if (m_isStoreUnreachable)
        m_replica.reconnected(gap, now);
}

Duration StoreFollower::retryDelay(TimePoint now)
{
    const bool isReached = isReachedByPeer(now);
    const auto longest = isReached ? maxRetryDelayAlone : maxRetryDelay;
    const auto delay = std::min(longest, firstRetryDelay * std::max(1, m_failuresInRow));
    const bool isPassive = m_callbacks.hasOtherReader && m_callbacks.hasOtherReader();
    const double factor = isPassive && !isReached ? passiveRetryFactor : 1;
    return fromSeconds(
        toSeconds(delay) * factor * (minRetryFraction + (1 - minRetryFraction) * m_random.fraction()));
}

void StoreFollower::scheduleCall(Duration wait)
{
    m_timer.expires_after(wait);
    m_timer.async_wait([this](std::error_code ec) {
        if (ec)
            return;
        const auto now = bootNow();
        const auto skippedFor = m_replica.covered() && m_callbacks.skipPollingFor
            ? m_callbacks.skipPollingFor(now)
            : Duration::zero();
        const auto untilRead = m_isBehind ? m_callStarted + m_options.spacingWhilePassive - now : skippedFor;
        if (!m_mustRead && std::min(skippedFor, untilRead) > Duration::zero()) {
            scheduleCall(
                std::clamp(std::min(skippedFor, untilRead), minPassiveCheckPeriod, maxPassiveCheckPeriod));
            return;
        }
        if (!isReceiving(now))
            startCall();
        if (m_isStoreUnreachable)
            scheduleCall(retryDelay(now));
    });
}

void StoreFollower::confirm(TimePoint at)
{
    if (at < m_incompleteUntil)
        return;
    m_confirmedAt = std::max(at, m_confirmedAt.value_or(at));
    m_callbacks.confirmed(*m_confirmedAt);
}

void StoreFollower::peerConfirmed(StoreVersion covered, StoreVersion changed, TimePoint at)
{
    const auto now = bootNow();
    const bool wasReachedByPeer = isReachedByPeer(now);
    m_peerContactAt = std::max(m_peerContactAt, at);
    recordContact(at, now);
    if (m_isStoreUnreachable && !wasReachedByPeer && isReachedByPeer(now))
        scheduleCall(Duration::zero());
    if (!m_replica.covered() || covered.era != m_replica.era())
        return;
    if (!m_replica.applyPeerView(covered, changed)) {
        if (!std::exchange(m_isBehind, true) && m_openCalls.empty() && !m_isStoreUnreachable)
            scheduleCall(std::max(Duration::zero(), m_callStarted + m_options.spacingWhilePassive - now));
        return;
    }
    confirm(at);
}

bool StoreFollower::applyPeerRows(const ReplicaRows& peer, TimePoint at)
{
    if (peer.rows.version.era != m_replica.era())
        return false;
    const auto now = bootNow();
    recordContact(at, now);
    const bool hadPosition = m_replica.covered().has_value();
    const auto changes = m_replica.applyPeerRows(peer, now);
    if (!changes)
        return false;
    // The next page of a snapshot does not continue what the replica contains now.
    if (!hadPosition)
        m_openCalls.clear();
    m_isBehind = false;
    report(*changes);
    confirm(at);
    return true;
}

} // namespace lentilbay::edge
