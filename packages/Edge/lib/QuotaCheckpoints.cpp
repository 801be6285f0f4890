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
constexpr Duration readTimeout = std::chrono::milliseconds(400);
constexpr Duration writeTimeout = std::chrono::seconds(1);
constexpr Duration retryPeriod = std::chrono::milliseconds(700);
/// 26 data centres with 220 organisations of at most 100 bytes each, in base64.
constexpr size_t maxResponseBytes = 1 << 20;

std::string keyOf(const DataCentreId& dataCentre) { return fmt::format("{}{}", useKind, dataCentre.text()); }

uint64_t rounded(double tokens) { return tokens > 0 ? static_cast<uint64_t>(std::llround(tokens)) : 0; }

asio::ip::tcp::endpoint endpointOf(const platform::Address& store)
{
    std::error_code ec;
    const auto host = asio::ip::make_address(store.host, ec);
    return ec ? asio::ip::tcp::endpoint() : asio::ip::tcp::endpoint(host, store.port);
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
    , m_store(endpointOf(state.settings.store))
    , m_host(fmt::format("{}:{}", state.settings.store.host, state.settings.store.port))
    , m_countsAllUse(state.settings.isFirstStart)
    , m_isRead(m_countsAllUse)
    , m_timer(state.context)
{
    m_state.awaitsQuotaHistory = !m_isRead;
}

QuotaCheckpoints::~QuotaCheckpoints()
{
    if (m_call)
        m_call->close();
}

void QuotaCheckpoints::update(bool countsAllUse, bool isWriter, TimePoint now)
{
    m_countsAllUse = m_countsAllUse || countsAllUse;
    if (m_countsAllUse) {
        m_isRead = true;
        endWaiting();
    }
    if (m_call)
        return;
    if (!m_isRead && now >= m_nextReadAt)
        read();
    else if (isWriter && hasHistory() && (m_countsAllUse || now - m_startedAt >= writeDelayAfterRestore))
        writeIfDue(now);
}

void QuotaCheckpoints::read()
{
    m_nextReadAt = bootNow() + retryPeriod;
    send(platform::readRowsRequest(m_host, table, useKind), [this](const auto& body) {
        if (body)
            applyRows(*body);
        endWaiting();
    });
}

void QuotaCheckpoints::applyRows(const std::string& body)
{
    // The age of a row is judged by its content, so the era does not matter.
    const auto decoded = outcomeOf<platform::StoreRows>([&] { return platform::decodeRows(body, 0); });
    const auto* rows = std::get_if<platform::StoreRows>(&decoded);
    if (!rows || !rows->storeTime || m_isRead)
        return;
    m_isRead = true;
    const auto now = bootNow();
    std::vector<QuotaCheckpoint> checkpoints;
    for (const auto& it : rows->rows) {
        if (auto checkpoint = it.key.starts_with(useKind) ? decodeQuotaCheckpoint(it.value) : std::nullopt)
            checkpoints.push_back(std::move(*checkpoint));
    }
    const auto found = checkpoints.size();
    auto checkpoint
        = combineCheckpoints(std::move(checkpoints), *rows->storeTime, m_state.settings.bounds.quotaWindow);
    const auto age = checkpoint ? *rows->storeTime - checkpoint->takenAt : Duration(-1);
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
    if (!takenAt) {
        // A response states the store's time.
        send(platform::readRowRequest(m_host, table, keyOf(m_state.settings.dataCentre)), [](const auto&) {});
        return;
    }
    send(platform::writeRowRequest(
             m_host, table, keyOf(m_state.settings.dataCentre), encodeQuotaCheckpoint(taken)),
        [](const auto&) {});
}

void QuotaCheckpoints::send(std::string request, Done done)
{
    ++m_calls;
    auto call = std::make_shared<http::ClientConnection>(m_state.context);
    m_call = call;
    m_done = std::move(done);
    const auto timeout = m_isRead ? writeTimeout : readTimeout;
    // A handler of a call that has ended finds another call, or none, or runs after the destructor.
    const auto isCurrent = [this, call, lifetime = std::weak_ptr(m_lifetime)] {
        return !lifetime.expired() && m_call == call;
    };
    const Done end = [this, isCurrent](std::optional<std::string> body) {
        if (isCurrent())
            finish(std::move(body));
    };
    m_timer.expires_after(timeout);
    m_timer.async_wait([end](std::error_code ec) {
        if (!ec)
            end(std::nullopt);
    });
    call->connect(
        m_store, timeout, [call, isCurrent, end, request = std::move(request)](bool isConnected) mutable {
            if (!isConnected || !isCurrent()) {
                end(std::nullopt);
                return;
            }
            const auto body = std::make_shared<std::string>();
            const auto isAnswered = std::make_shared<bool>(false);
            call->exchange(std::move(request), false,
                { .head =
                        [isAnswered](const http::HttpResponseHead& head) {
                            constexpr int ok = 200;
                            *isAnswered = head.status == ok;
                            return true;
                        },
                    .body =
                        [body](std::string_view piece) {
                            if (body->size() + piece.size() <= maxResponseBytes)
                                body->append(piece);
                        },
                    .complete
                    = [end, body, isAnswered] { end(*isAnswered ? std::optional(*body) : std::nullopt); },
                    .failed = [end](http::FailurePoint) { end(std::nullopt); } });
        });
}

void QuotaCheckpoints::finish(std::optional<std::string> body)
{
    m_timer.cancel();
    std::exchange(m_call, nullptr)->close();
    if (!body)
        ++m_failures;
    else if (const auto time = platform::decodeStoreTime(*body))
        m_storeClock = { .time = *time, .at = bootNow() };
    std::exchange(m_done, nullptr)(std::move(body));
}

} // namespace lentilbay::edge
