// Rows of the platform's store about what was admitted of the quotas.
#include "lentilbay/Edge/QuotaCheckpoints.h"

#include "EdgeTimes.h"
#include "lentilbay/Support/Hash.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"
#include "lentilbay/platform/StoreCalls.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <sstream>
#include <utility>

namespace lentilbay::edge {
namespace {

constexpr std::string_view table = "quotas";
constexpr std::string_view useKind = "use/";
/// Stated at the begin of a value; a build ignores rows of a format that it does not know.
constexpr std::string_view format = "1";
/// Many times the usual response time of the store. Callers are refused until the first read has ended.
constexpr Duration firstReadTimeout = std::chrono::milliseconds(400);
constexpr Duration retryPeriod = std::chrono::milliseconds(700);
/// 26 data centres with 220 organisations of at most 100 bytes each, in base64.
constexpr size_t maxReplyBytes = 1 << 20;
/// A row that was written longer ago belongs to a data centre that was removed, or has had no use for as long
/// and writes it again when it has some.
constexpr Duration abandonedAge = std::chrono::hours(1);
constexpr int httpOk = 200;

std::string keyOf(const DataCentreId& dataCentre) { return fmt::format("{}{}", useKind, dataCentre.text()); }

uint64_t rounded(double tokens) { return tokens > 0 ? static_cast<uint64_t>(std::llround(tokens)) : 0; }

asio::ip::tcp::endpoint endpointOf(const platform::Address& store)
{
    std::error_code ec;
    const auto host = asio::ip::make_address(store.host, ec);
    return ec ? asio::ip::tcp::endpoint() : asio::ip::tcp::endpoint(host, store.port);
}

/// What an answer says about rows; std::nullopt if there is none, or it cannot be read.
std::optional<platform::StoreRows> rowsOf(const StoreReply& reply, bool isChange)
{
    const bool isRefused = isChange && reply.status == platform::statusVersionMismatch;
    if (reply.status != httpOk && !isRefused)
        return std::nullopt;
    const auto decoded = outcomeOf<platform::StoreRows>([&] {
        return isChange && !isRefused ? platform::decodeAcknowledgement(reply.body, reply.era)
                                      : platform::decodeRows(reply.body, reply.era);
    });
    const auto* rows = std::get_if<platform::StoreRows>(&decoded);
    return rows ? std::optional(*rows) : std::nullopt;
}

} // namespace

std::string encodeQuotaCheckpoint(const QuotaCheckpoint& checkpoint)
{
    auto out
        = fmt::format("{} {:x} {:x}\n", format, millisecondsOf(checkpoint.takenAt), checkpoint.incarnation);
    for (const auto& [organisation, use] : checkpoint.uses) {
        out += fmt::format("{:x} {:x}", organisation, rounded(use.level));
        for (const auto it : use.parts)
            out += fmt::format(" {:x}", rounded(it));
        out += '\n';
    }
    return out;
}

std::optional<QuotaCheckpoint> decodeQuotaCheckpoint(std::string_view text)
{
    std::istringstream in { std::string(text) };
    in >> std::hex;
    std::string found;
    int64_t takenAt = 0;
    QuotaCheckpoint out;
    constexpr int64_t maxTakenAt = Duration::max() / std::chrono::milliseconds(1);
    if (!(in >> found >> takenAt >> out.incarnation) || found != format || takenAt < 0
        || takenAt > maxTakenAt)
        return std::nullopt;
    out.takenAt = std::chrono::milliseconds(takenAt);
    for (uint64_t organisation = 0; in >> organisation;) {
        uint64_t tokens = 0;
        if (!(in >> tokens))
            return std::nullopt;
        QuotaUse use { .level = static_cast<double>(tokens) };
        for (auto& it : use.parts) {
            if (!(in >> tokens))
                return std::nullopt;
            it = static_cast<double>(tokens);
        }
        out.uses.emplace(organisation, use);
    }
    return in.eof() ? std::optional(std::move(out)) : std::nullopt;
}

QuotaCheckpoints::QuotaCheckpoints(EdgeState& state, uint64_t incarnation, TimePoint startedAt)
    : m_state(state)
    , m_incarnation(incarnation)
    , m_startedAt(startedAt)
    , m_store(state.context, endpointOf(state.settings.store))
    , m_host(fmt::format("{}:{}", state.settings.store.host, state.settings.store.port))
    , m_key(keyOf(state.settings.dataCentre))
    , m_countsAllUse(state.settings.isFirstStart)
    , m_isRead(m_countsAllUse)
{
    m_state.awaitsQuotaHistory = !m_isRead;
}

void QuotaCheckpoints::update(bool countsAllUse, bool isWriter, TimePoint now)
{
    m_countsAllUse = m_countsAllUse || countsAllUse;
    if (m_countsAllUse) {
        m_isRead = true;
        endWaiting();
    }
    if (isCalling())
        return;
    if (!m_isRead && now >= m_nextReadAt)
        read();
    else if (isWriter && hasHistory() && (m_countsAllUse || now - m_startedAt >= writeDelayAfterRestore))
        writeIfDue(now);
    if (isWriter && !isCalling() && !m_abandoned.empty())
        deleteAbandonedRow();
}

void QuotaCheckpoints::read()
{
    m_nextReadAt = bootNow() + retryPeriod;
    send(platform::readRowsRequest(m_host, table, useKind), false, [this](const auto& rows, bool) {
        if (rows)
            applyRows(*rows);
        endWaiting();
    });
}

void QuotaCheckpoints::applyRows(const platform::StoreRows& rows)
{
    if (!rows.storeTime)
        return;
    const auto now = bootNow();
    std::vector<QuotaCheckpoint> checkpoints;
    for (const auto& it : rows.rows) {
        auto checkpoint = it.key.starts_with(useKind) ? decodeQuotaCheckpoint(it.value) : std::nullopt;
        if (!checkpoint)
            continue;
        if (it.key != m_key && *rows.storeTime - checkpoint->takenAt > abandonedAge)
            m_abandoned.push_back(it);
        checkpoints.push_back(std::move(*checkpoint));
    }
    // A peer that counts all use may have been heard during the call.
    if (std::exchange(m_isRead, true))
        return;
    recordOwnRow(rows);
    const auto found = checkpoints.size();
    auto checkpoint
        = combineCheckpoints(std::move(checkpoints), *rows.storeTime, m_state.settings.bounds.quotaWindow);
    const auto age = checkpoint ? *rows.storeTime - checkpoint->takenAt : Duration(-1);
    if (checkpoint && !isRestorable(m_startedAt - (now - age)))
        checkpoint.reset();
    logEvent(checkpoint ? Event::QuotasRestored : Event::QuotasWithoutHistory,
        { { "rows", static_cast<int64_t>(found) }, { "age_ms", millisecondsOf(age) },
            { "organisations", static_cast<int64_t>(checkpoint ? checkpoint->uses.size() : 0) },
            { "waited_ms", millisecondsOf(now - m_startedAt) } });
    if (!checkpoint)
        return;
    m_isRestored = true;
    m_state.restoreQuotas(
        { .uses = std::move(checkpoint->uses), .takenAt = now - age, .restartedAt = m_startedAt }, now);
}

std::optional<Duration> QuotaCheckpoints::storeTime(TimePoint now) const
{
    return m_storeClock ? std::optional(m_storeClock->time + (now - m_storeClock->at)) : std::nullopt;
}

std::pair<QuotaCheckpoint, double> QuotaCheckpoints::checkpoint(Duration takenAt, TimePoint now)
{
    std::pair<QuotaCheckpoint, double> out;
    auto& [checkpoint, greatestUse] = out;
    checkpoint = { .takenAt = takenAt, .incarnation = m_incarnation };
    for (const auto& organisation : m_state.routes->organisations()) {
        const auto it = m_state.quotas().find(organisation.name);
        if (!organisation.quota || it == m_state.quotas().end())
            continue;
        auto& quota = it->second;
        const QuotaUse use { .level = quota.fleetLevel(now), .parts = quota.windowParts(now) };
        const double inWindow = use.inWindow();
        if (inWindow < 1)
            continue;
        const double allowed = m_state.quotaLimits(*organisation.quota).windowTokens;
        greatestUse = std::max(greatestUse, allowed > 0 ? inWindow / allowed : 1);
        checkpoint.uses.emplace(hashOf(organisation.name.text()), use);
    }
    return out;
}

void QuotaCheckpoints::writeIfDue(TimePoint now)
{
    if (!m_state.routes)
        return;
    const auto takenAt = storeTime(now);
    const auto [taken, greatestUse] = checkpoint(takenAt.value_or(Duration::zero()), now);
    const auto period = checkpointPeriod(greatestUse);
    if (!period || now - m_lastWrittenAt < *period)
        return;
    m_lastWrittenAt = now;
    if (!takenAt || !m_ownVersion) {
        // The answer states the store's time and the version of the row.
        send(platform::readRowRequest(m_host, table, m_key), false, [this](const auto& rows, bool) {
            if (!rows)
                return;
            recordOwnRow(*rows);
            m_lastWrittenAt = {};
        });
        return;
    }
    const auto expected = *std::exchange(m_ownVersion, std::nullopt);
    send(platform::conditionalWriteRequest(m_host,
             { { .table = std::string(table),
                 .key = m_key,
                 .value = encodeQuotaCheckpoint(taken),
                 .expectedVersion = expected } }),
        true, [this, expected](const auto& rows, bool isRefused) {
            if (!rows)
                return;
            if (!isRefused) {
                m_ownVersion = rows->version.number;
                return;
            }
            // Another daemon has written the row since. It is replaced after a period, if this daemon then
            // still is the writer, with what it has heard by then.
            ++m_conflicts;
            recordOwnRow(*rows);
            logEvent(Event::QuotaCheckpointConflict,
                { { "expected", static_cast<int64_t>(expected) },
                    { "found", static_cast<int64_t>(*m_ownVersion) } });
        });
}

void QuotaCheckpoints::recordOwnRow(const platform::StoreRows& rows)
{
    const auto own = std::ranges::find(rows.rows, m_key, &platform::StoreRow::key);
    m_ownVersion = own == rows.rows.end() || own->isDeleted ? 0 : own->version.number;
}

void QuotaCheckpoints::deleteAbandonedRow()
{
    const auto row = std::move(m_abandoned.back());
    m_abandoned.pop_back();
    // A row that was written again has another version.
    send(platform::deleteRowRequest(m_host, table, row.key, row.version.number), true,
        [row](const auto& rows, bool isRefused) {
            logEvent(Event::QuotaCheckpointDeleted,
                { { "key", row.key }, { "acknowledged", static_cast<int64_t>(rows && !isRefused) } });
        });
}

void QuotaCheckpoints::send(std::string request, bool isChange, Done done)
{
    ++m_calls;
    StoreCallLimits limits { .maxReplyBytes = maxReplyBytes };
    if (!m_isRead)
        limits.timeout = firstReadTimeout;
    m_store.call(
        std::move(request),
        [this, isChange, done = std::move(done)](const StoreReply& reply) {
            const auto rows = rowsOf(reply, isChange);
            if (!rows)
                ++m_failures;
            else if (rows->storeTime)
                m_storeClock = { .time = *rows->storeTime, .at = bootNow() };
            done(rows, reply.status == platform::statusVersionMismatch);
        },
        limits);
}

} // namespace lentilbay::edge
