// Reading and following of one store table.
#include "lentilbay/Edge/StoreFollower.h"

#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"

#include <asio/post.hpp>
#include <fmt/format.h>

namespace lentilbay::edge {
namespace {

/// Many times the longest round trip.
constexpr Duration connectTimeout = std::chrono::milliseconds(600);
/// Added to the store's long-poll wait: several times its usual response time, and short enough to detect a
/// dead connection.
constexpr Duration answerTimeout = std::chrono::milliseconds(800);
/// The timeout grows with consecutive failures up to this value, so that a store that stays slow is still
/// read.
constexpr Duration maxAnswerTimeout = std::chrono::milliseconds(2000);
/// The retry delay grows with consecutive failures. The upper bound is well below the two seconds that
/// endpoint entries take to be restored after an outage.
constexpr Duration firstRetryDelay = std::chrono::milliseconds(150);
constexpr Duration maxRetryDelay = std::chrono::milliseconds(600);
/// Calls to the platform are billed, including failed ones. While another daemon retries at the delays above,
/// this daemon uses delays longer by this factor, which still finds a store that only some daemons can reach.
constexpr double passiveRetryFactor = 3;
/// How often a follower that skips polling checks whether it must read.
constexpr Duration passiveCheckPeriod = std::chrono::milliseconds(150);
/// A deletion this soon after an outage may be an entry that expired during it.
constexpr Duration postOutageWindow = std::chrono::seconds(3);

std::string hostOf(const asio::ip::tcp::endpoint& address)
{
    return fmt::format("{}:{}", address.address().to_string(), address.port());
}

} // namespace

StoreFollower::StoreFollower(asio::io_context& context, StoreFollowerOptions options, Callbacks callbacks)
    : m_context(context)
    , m_options(std::move(options))
    , m_callbacks(std::move(callbacks))
    , m_random(m_options.seed)
    , m_timer(context)
    , m_timeout(context)
{
}

StoreFollower::~StoreFollower()
{
    if (m_connection)
        m_connection->close();
}

void StoreFollower::start() { call(); }

void StoreFollower::call()
{
    m_callStarted = bootNow();
    ++m_calls;
    const auto number = ++m_callNumber;
    const auto limit = std::min(maxAnswerTimeout, answerTimeout * (1 + m_failuresInRow))
        + (m_version ? m_options.wait : Duration {});
    m_timeout.expires_after(limit);
    m_timeout.async_wait([this, number](std::error_code ec) {
        if (!ec && number == m_callNumber)
            handleFailure("timed out waiting for the answer");
    });
    if (m_connection && m_connection->isReusable()) {
        send();
        return;
    }
    m_connection = std::make_shared<http::ClientConnection>(m_context);
    m_connection->connect(m_options.store, connectTimeout, [this, number](bool connected) {
        if (number != m_callNumber)
            return;
        if (connected)
            send();
        else
            handleFailure("could not connect");
    });
}

void StoreFollower::send()
{
    const auto host = hostOf(m_options.store);
    auto request = m_version ? platform::followRowsRequest(host, m_options.table, *m_version,
                       static_cast<unsigned>(m_options.wait / std::chrono::milliseconds(1)))
                             : platform::readRowsRequest(host, m_options.table, m_snapshotFrom);
    auto status = std::make_shared<int>(0);
    auto body = std::make_shared<std::string>();
    const auto sentAt = bootNow();
    m_connection->exchange(std::move(request), false,
        { .head =
                [status](const http::HttpResponseHead& head) {
                    *status = head.status;
                    return true;
                },
            .body = [body](std::string_view piece) { *body += piece; },
            .complete = [this, status, body, sentAt] { handleAnswer(*status, *body, sentAt); },
            .failed =
                [this](http::FailurePoint) {
                    handleFailure("connection closed before the answer was complete");
                } });
}

void StoreFollower::handleAnswer(int status, const std::string& body, TimePoint sentAt)
{
    const auto now = bootNow();
    if (status == platform::statusHistoryGone) {
        logEvent(Event::StoreHistoryLost, { { "table", m_options.table } });
        m_version.reset();
        m_snapshot.clear();
        m_snapshotVersion.reset();
        m_snapshotFrom.clear();
        scheduleCall(Duration::zero());
        return;
    }
    if (status != 200) {
        handleFailure(fmt::format("status {}", status));
        return;
    }
    const auto decoded = outcomeOf<platform::StoreRows>([&] { return platform::decodeRows(body); });
    if (const auto* failure = std::get_if<Failure>(&decoded)) {
        handleFailure(failure->detail);
        return;
    }
    if (m_isStoreUnreachable) {
        m_isStoreUnreachable = false;
        m_reconnectedAt = now;
        logEvent(Event::PlatformBack,
            { { "table", m_options.table },
                { "view_age_ms", m_confirmedAt ? (now - *m_confirmedAt) / std::chrono::milliseconds(1) : -1 },
                { "failures", static_cast<int64_t>(m_failuresInRow) } });
    }
    m_failuresInRow = 0;
    m_isBehind = false;
    const auto& rows = std::get<platform::StoreRows>(decoded);
    apply(rows, now);
    if (m_version)
        confirm(sentAt);
    const auto next = m_callStarted + m_options.spacing;
    scheduleCall(m_version && next > now ? next - now : Duration::zero());
}

void StoreFollower::apply(const platform::StoreRows& rows, TimePoint now)
{
    if (!m_version) {
        if (!m_snapshotVersion)
            m_snapshotVersion = rows.version;
        for (const auto& row : rows.rows)
            m_snapshot[row.key] = row;
        if (rows.hasMore && !rows.rows.empty()) {
            // The smallest key after the last one is that key followed by a zero byte.
            m_snapshotFrom = rows.rows.back().key + '\0';
            return;
        }
        applySnapshot(now);
        return;
    }
    for (const auto& row : rows.rows) {
        m_changedVersion = std::max(m_changedVersion, row.version);
        if (row.isDeleted) {
            remove(row.key, now);
            continue;
        }
        m_deletions.erase(row.key);
        auto& version = m_rowVersions[row.key];
        if (row.version < version)
            continue;
        version = row.version;
        m_callbacks.changed(row);
    }
    m_version = std::max(*m_version, rows.version);
}

void StoreFollower::applySnapshot(TimePoint now)
{
    for (const auto& [key, row] : m_snapshot) {
        m_changedVersion = std::max(m_changedVersion, row.version);
        m_deletions.erase(key);
        auto [it, isNew] = m_rowVersions.try_emplace(key, row.version);
        if (!isNew && row.version <= it->second)
            continue;
        it->second = row.version;
        m_callbacks.changed(row);
    }
    const auto known = m_rowVersions;
    for (const auto& [key, version] : known) {
        if (!m_snapshot.contains(key))
            remove(key, now);
    }
    // The snapshot does not show rows that were deleted before, so all of it counts as changed.
    m_changedVersion = std::max(m_changedVersion, m_snapshotVersion.value_or(0));
    m_version = m_snapshotVersion;
    m_snapshot.clear();
    m_snapshotVersion.reset();
    m_snapshotFrom.clear();
}

void StoreFollower::remove(const std::string& key, TimePoint now)
{
    const bool mayReturn = m_reconnectedAt != TimePoint {} && now - m_reconnectedAt < postOutageWindow;
    if (mayReturn && m_options.deletionDelay > Duration::zero()) {
        m_deletions.try_emplace(key, m_reconnectedAt + m_options.deletionDelay);
        return;
    }
    m_rowVersions.erase(key);
    m_callbacks.deleted(key);
}

void StoreFollower::applyDueDeletions(TimePoint now)
{
    for (auto it = m_deletions.begin(); it != m_deletions.end();) {
        if (it->second > now || m_isStoreUnreachable) {
            ++it;
            continue;
        }
        const auto key = it->first;
        it = m_deletions.erase(it);
        m_rowVersions.erase(key);
        m_callbacks.deleted(key);
    }
}

void StoreFollower::handleFailure(const std::string& reason)
{
    ++m_failures;
    ++m_failuresInRow;
    ++m_callNumber;
    if (!std::exchange(m_isStoreUnreachable, true))
        logEvent(Event::PlatformAway, { { "table", m_options.table }, { "reason", reason } });
    if (m_connection)
        m_connection->close();
    m_connection.reset();
    const auto pause = std::min(maxRetryDelay, firstRetryDelay * m_failuresInRow);
    const double factor = m_callbacks.hasOtherReader && m_callbacks.hasOtherReader() ? passiveRetryFactor : 1;
    scheduleCall(fromSeconds(toSeconds(pause) * factor * (0.5 + m_random.fraction())));
}

void StoreFollower::scheduleCall(Duration wait)
{
    m_timeout.cancel();
    m_timer.expires_after(wait);
    m_timer.async_wait([this](std::error_code ec) {
        if (ec)
            return;
        const auto now = bootNow();
        const bool maySkipPolling
            = m_version && m_callbacks.maySkipPolling && m_callbacks.maySkipPolling(now);
        if (maySkipPolling && (!m_isBehind || now - m_callStarted < m_options.spacingWhilePassive))
            scheduleCall(passiveCheckPeriod);
        else
            call();
    });
}

void StoreFollower::confirm(TimePoint at)
{
    m_confirmedAt = std::max(at, m_confirmedAt.value_or(at));
    m_callbacks.confirmed(*m_confirmedAt);
}

void StoreFollower::peerConfirmed(uint64_t covered, uint64_t changed, TimePoint at)
{
    if (!m_version)
        return;
    if (changed > *m_version) {
        m_isBehind = true;
        return;
    }
    m_version = std::max(*m_version, covered);
    confirm(at);
}

} // namespace lentilbay::edge
