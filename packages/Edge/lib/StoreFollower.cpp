// Reads and follows one table.
#include "lentilbay/Edge/StoreFollower.h"

#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"

#include <asio/post.hpp>
#include <fmt/format.h>

namespace lentilbay::edge {
namespace {

/// Many times the longest way there and back.
constexpr Duration connectTimeout = std::chrono::milliseconds(600);
/// Beyond the store's own wait: several times its usual answer, and short enough to notice a silent
/// connection.
constexpr Duration answerTimeout = std::chrono::milliseconds(800);
/// A store that is slow for a long time is still heard: the time-out grows with failures in a row up to this.
constexpr Duration longestAnswerTimeout = std::chrono::milliseconds(2000);
/// After failed calls: grows with them, and still finds a store that is back well within the two seconds that
/// entries of endpoints take to be back.
constexpr Duration firstPause = std::chrono::milliseconds(150);
constexpr Duration longestPause = std::chrono::milliseconds(600);
/// Calls to the platform are billed, also those that fail: where another daemon tries as often as the pauses
/// above say, the rest do so this much less often, which still finds a store that only some can reach.
constexpr double helperPause = 3;
/// While it rests, a follower looks this often whether it must read after all.
constexpr Duration restPeriod = std::chrono::milliseconds(150);
/// A deletion this soon after an outage may be an entry that lapsed meanwhile.
constexpr Duration outageShadow = std::chrono::seconds(3);

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
    const auto limit = std::min(longestAnswerTimeout, answerTimeout * (1 + m_failuresInRow))
        + (m_version ? m_options.wait : Duration {});
    m_timeout.expires_after(limit);
    m_timeout.async_wait([this, number](std::error_code ec) {
        if (!ec && number == m_callNumber)
            failed("no answer in time");
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
            failed("no connection");
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
            .whole = [this, status, body, sentAt] { answered(*status, *body, sentAt); },
            .broken = [this](http::BrokenAt) { failed("the connection broke"); } });
}

void StoreFollower::answered(int status, const std::string& body, TimePoint sentAt)
{
    const auto now = bootNow();
    if (status == platform::statusHistoryGone) {
        logEvent(Event::StoreHistoryLost, { { "table", m_options.table } });
        m_version.reset();
        m_snapshot.clear();
        m_snapshotVersion.reset();
        m_snapshotFrom.clear();
        again(Duration::zero());
        return;
    }
    if (status != 200) {
        failed(fmt::format("status {}", status));
        return;
    }
    const auto decoded = outcomeOf<platform::StoreRows>([&] { return platform::decodeRows(body); });
    if (const auto* failure = std::get_if<Failure>(&decoded)) {
        failed(failure->detail);
        return;
    }
    if (m_isAway) {
        m_isAway = false;
        m_regainedAt = now;
        logEvent(Event::PlatformBack, { { "table", m_options.table } });
    }
    m_failuresInRow = 0;
    m_isBehind = false;
    const auto& rows = std::get<platform::StoreRows>(decoded);
    apply(rows, now);
    if (m_version)
        confirm(sentAt);
    const auto next = m_callStarted + m_options.spacing;
    again(m_version && next > now ? next - now : Duration::zero());
}

void StoreFollower::apply(const platform::StoreRows& rows, TimePoint now)
{
    if (!m_version) {
        if (!m_snapshotVersion)
            m_snapshotVersion = rows.version;
        for (const auto& row : rows.rows)
            m_snapshot[row.key] = row;
        if (rows.hasMore && !rows.rows.empty()) {
            // A key followed by a zero byte is the next possible key.
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
        auto& version = m_known[row.key];
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
        auto [it, isNew] = m_known.try_emplace(key, row.version);
        if (!isNew && row.version <= it->second)
            continue;
        it->second = row.version;
        m_callbacks.changed(row);
    }
    const auto known = m_known;
    for (const auto& [key, version] : known) {
        if (!m_snapshot.contains(key))
            remove(key, now);
    }
    // Rows that were deleted meanwhile are not in the snapshot, so all of it counts as new.
    m_changedVersion = std::max(m_changedVersion, m_snapshotVersion.value_or(0));
    m_version = m_snapshotVersion;
    m_snapshot.clear();
    m_snapshotVersion.reset();
    m_snapshotFrom.clear();
}

void StoreFollower::remove(const std::string& key, TimePoint now)
{
    const bool mayReturn = m_regainedAt != TimePoint {} && now - m_regainedAt < outageShadow;
    if (mayReturn && m_options.deletionDelay > Duration::zero()) {
        m_deletions.try_emplace(key, m_regainedAt + m_options.deletionDelay);
        return;
    }
    m_known.erase(key);
    m_callbacks.deleted(key);
}

void StoreFollower::step(TimePoint now)
{
    for (auto it = m_deletions.begin(); it != m_deletions.end();) {
        if (it->second > now || m_isAway) {
            ++it;
            continue;
        }
        const auto key = it->first;
        it = m_deletions.erase(it);
        m_known.erase(key);
        m_callbacks.deleted(key);
    }
}

void StoreFollower::failed(const std::string& reason)
{
    ++m_failures;
    ++m_failuresInRow;
    ++m_callNumber;
    if (!std::exchange(m_isAway, true))
        logEvent(Event::PlatformAway, { { "table", m_options.table }, { "reason", reason } });
    if (m_connection)
        m_connection->close();
    m_connection.reset();
    const auto pause = std::min(longestPause, firstPause * m_failuresInRow);
    const double factor = m_callbacks.isHelper && m_callbacks.isHelper() ? helperPause : 1;
    again(fromSeconds(toSeconds(pause) * factor * (0.5 + m_random.fraction())));
}

void StoreFollower::again(Duration wait)
{
    m_timeout.cancel();
    m_timer.expires_after(wait);
    m_timer.async_wait([this](std::error_code ec) {
        if (ec)
            return;
        const auto now = bootNow();
        const bool mayRest = m_version && m_callbacks.mayRest && m_callbacks.mayRest(now);
        if (mayRest && (!m_isBehind || now - m_callStarted < m_options.spacingWhileResting))
            again(restPeriod);
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
