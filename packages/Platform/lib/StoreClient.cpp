// Adds deadlines, retries, circuit breakers and a row cache to the calls of the platform's services.
#include "lentilbay/Platform/StoreClient.h"

#include "StoreJson.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <utility>

namespace lentilbay {
namespace {

constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

/// The outcome of one attempt.
enum class AttemptOutcome : uint8_t {
    Replied,
    /// The service did not execute the call.
    NotExecuted,
    /// The call may have taken effect.
    Unknown,
};

} // namespace

struct StoreClient::State : std::enable_shared_from_this<StoreClient::State> {
    /// State of one of the two services: table or objects.
    struct Service {
        Service(const char* given, const StoreCircuitBreakerOptions& options, uint64_t seed)
            : name(given)
            , breaker(options, seed)
        {
        }

        std::string name;
        StoreCircuitBreaker breaker;
        StoreRetryBudget budget;
    };

    struct Call {
        StoreCommand command;
        std::function<void(StoreReply)> reply;
        TimePoint deadline;
        uint32_t retries = 0;
        /// If set, a final failure is reported as Ambiguous instead of Unavailable.
        bool mayHaveTakenEffect = false;
    };

    struct Handler;

    State(asio::io_context& context, HttpClient& http, StoreClientOptions given)
        : context(context)
        , http(http)
        , options(std::move(given))
        , random(options.seed)
        , table("table", options.breaker, options.seed + 1)
        , objects("objects", options.breaker, options.seed + 2)
    {
    }

    Service& serviceOf(const StoreOperation& operation)
    {
        return isObjectOperation(operation) ? objects : table;
    }

    void attempt(const std::shared_ptr<Call>& call);
    void finishAttempt(const std::shared_ptr<Call>& call, AttemptOutcome outcome, StoreReply reply);
    bool mayRetry(const Call& call, TimePoint now);
    void scheduleRetry(const std::shared_ptr<Call>& call);
    void finish(const std::shared_ptr<Call>& call, StoreReply reply);
    void finishFailed(const std::shared_ptr<Call>& call);
    void cacheRows(const StoreOperation& operation, const StoreReply& reply);

    struct CacheEntry {
        std::optional<TableRow> row;
        TimePoint readAt;
    };

    asio::io_context& context;
    HttpClient& http;
    StoreClientOptions options;
    Random random;
    Service table;
    Service objects;
    StoreClientCounters counters;
    std::map<TableKey, CacheEntry> cache;
};

struct StoreClient::State::Handler : HttpHandler {
    Handler(std::weak_ptr<State> givenState, std::shared_ptr<Call> givenCall)
        : state(std::move(givenState))
        , call(std::move(givenCall))
    {
    }

    void headArrived(const HttpHead& head) override { status = head.status; }
    bool bytesArrived(std::string_view bytes) override
    {
        body += bytes;
        return true;
    }
    void ended(HttpEnd end, const std::string&) override
    {
        const auto owner = state.lock();
        if (!owner)
            return;
        const bool nothingWritten = end == HttpEnd::ConnectFailed || end == HttpEnd::CancelledBeforeWrite;
        if (nothingWritten)
            return owner->finishAttempt(call, AttemptOutcome::NotExecuted, {});
        if (end != HttpEnd::Complete)
            return owner->finishAttempt(call, AttemptOutcome::Unknown, {});
        if (status == statusTooManyRequests || status == statusUnavailable)
            return owner->finishAttempt(call, AttemptOutcome::NotExecuted, {});
        auto reply = parseReply(call->command.operation, status, body);
        if (!reply)
            return owner->finishAttempt(call, AttemptOutcome::Unknown, {});
        owner->finishAttempt(call, AttemptOutcome::Replied, std::move(*reply));
    }

    std::weak_ptr<State> state;
    std::shared_ptr<Call> call;
    int status = 0;
    std::string body;
};

void StoreClient::State::attempt(const std::shared_ptr<Call>& call)
{
    const auto now = steadyNow();
    auto& service = serviceOf(call->command.operation);
    if (!service.breaker.allows(now)) {
        ++counters.refusedByBreaker;
        return finishFailed(call);
    }
    ++counters.calls;
    auto http = makeHttpCall(call->command.operation, options.tableUrl, options.objectsUrl);
    http.timeout = std::max(Duration(1), call->deadline - now);
    this->http.start(std::move(http), std::make_shared<Handler>(weak_from_this(), call));
}

void StoreClient::State::finishAttempt(
    const std::shared_ptr<Call>& call, AttemptOutcome outcome, StoreReply reply)
{
    const auto now = steadyNow();
    auto& service = serviceOf(call->command.operation);
    if (outcome == AttemptOutcome::Replied) {
        if (service.breaker.recordSuccess())
            logEvent(Event::PlatformBack, { { "service", service.name } });
        return finish(call, std::move(reply));
    }
    if (service.breaker.recordFailure(now))
        logEvent(Event::PlatformAway, { { "service", service.name } });
    const bool isUnknown = outcome == AttemptOutcome::Unknown;
    call->mayHaveTakenEffect
        = call->mayHaveTakenEffect || (isUnknown && isWriteOperation(call->command.operation));
    if ((isUnknown && !isIdempotent(call->command.operation)) || !mayRetry(*call, now))
        return finishFailed(call);
    scheduleRetry(call);
}

bool StoreClient::State::mayRetry(const Call& call, TimePoint now)
{
    auto& service = serviceOf(call.command.operation);
    return call.retries < options.maxRetries && now + options.initialRetryDelay < call.deadline
        && !service.breaker.isOpen() && service.budget.takeRetry();
}

void StoreClient::State::scheduleRetry(const std::shared_ptr<Call>& call)
{
    ++counters.retries;
    const auto maxDelay = options.initialRetryDelay * (1U << call->retries++);
    const auto half = static_cast<uint64_t>(maxDelay.count() / 2);
    auto timer = std::make_shared<asio::steady_timer>(context, Duration(half + random.below(half + 1)));
    timer->async_wait([weak = weak_from_this(), timer, call](const asio::error_code& ec) {
        if (const auto state = weak.lock(); state && !ec)
            state->attempt(call);
    });
}

void StoreClient::State::finishFailed(const std::shared_ptr<Call>& call)
{
    finish(call, { .status = call->mayHaveTakenEffect ? StoreStatus::Ambiguous : StoreStatus::Unavailable });
}

void StoreClient::State::finish(const std::shared_ptr<Call>& call, StoreReply reply)
{
    counters.ambiguous += reply.status == StoreStatus::Ambiguous ? 1 : 0;
    reply.id = call->command.id;
    reply.user = call->command.user;
    cacheRows(call->command.operation, reply);
    asio::post(context, [call, reply = std::move(reply)]() mutable { call->reply(std::move(reply)); });
}

void StoreClient::State::cacheRows(const StoreOperation& operation, const StoreReply& reply)
{
    const auto* read = std::get_if<TableRead>(&operation);
    if (read == nullptr || reply.status != StoreStatus::Done)
        return;
    const auto now = steadyNow();
    for (size_t i = 0; i < read->keys.size(); ++i) {
        if (cache.size() >= options.maxCachedRows && !cache.contains(read->keys[i]))
            cache.erase(cache.begin());
        cache[read->keys[i]] = { .row = reply.rows[i], .readAt = now };
    }
}

StoreClient::StoreClient(asio::io_context& context, HttpClient& http, StoreClientOptions options)
    : m_state(std::make_shared<State>(context, http, std::move(options)))
{
}

StoreClient::~StoreClient() = default;

void StoreClient::submit(StoreCommand command, std::function<void(StoreReply)> reply)
{
    auto call = std::make_shared<State::Call>();
    call->deadline = steadyNow() + command.timeout;
    call->command = std::move(command);
    call->reply = std::move(reply);
    m_state->serviceOf(call->command.operation).budget.recordCall();
    m_state->attempt(call);
}

std::optional<CachedRow> StoreClient::readCached(const TableKey& key) const
{
    const auto it = m_state->cache.find(key);
    if (it == m_state->cache.end())
        return std::nullopt;
    return CachedRow { .row = it->second.row, .age = steadyNow() - it->second.readAt };
}

bool StoreClient::isTableUnavailable() const { return m_state->table.breaker.isOpen(); }

const StoreClientCounters& StoreClient::counters() const { return m_state->counters; }

} // namespace lentilbay
