// Executes the controllers' commands on the platform's table and object services over HTTP.
//
// Every command gets exactly one reply, within its timeout. A table transaction whose response was lost is
// reported as Ambiguous and never retried here: only the controller that issued it can find out, by reading,
// whether it took effect.
#pragma once

#include "lentilbay/Control/StoreMessages.h"
#include "lentilbay/Platform/HttpClient.h"
#include "lentilbay/Platform/StoreCircuitBreaker.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace asio {
class io_context;
}

namespace lentilbay {

/// Executes store commands. The reply is delivered asynchronously, never from within submit().
template <class T>
concept StoreService = requires(T service, StoreCommand command, std::function<void(StoreReply)> reply)
{
    service.submit(std::move(command), std::move(reply));
};

struct StoreClientOptions {
    /// Base URL without a trailing slash, such as "http://127.0.0.1:9000".
    std::string tableUrl;
    std::string objectsUrl;
    StoreCircuitBreakerOptions breaker;
    uint64_t seed = 1;
    /// Upper bound of the delay before the first retry; it doubles with each retry, and the delay is
    /// randomized between half of the bound and the bound.
    Duration initialRetryDelay = std::chrono::milliseconds(30);
    uint32_t maxRetries = 3;
    /// Maximum number of rows cached for readCached().
    size_t maxCachedRows = 4096;
};

/// Counters since the client was created.
struct StoreClientCounters {
    uint64_t calls = 0;
    uint64_t retries = 0;
    uint64_t refusedByBreaker = 0;
    uint64_t ambiguous = 0;

    auto operator<=>(const StoreClientCounters&) const = default;
};

/// The last value read for a row, and the time since then.
struct CachedRow {
    std::optional<TableRow> row;
    Duration age {};
};

class StoreClient {
public:
    /// The context and the HTTP client must outlive this object. All functions must be called on the
    /// io_context's thread.
    StoreClient(asio::io_context& context, HttpClient& http, StoreClientOptions options);
    StoreClient(const StoreClient&) = delete;
    StoreClient& operator=(const StoreClient&) = delete;
    ~StoreClient();

    void submit(StoreCommand command, std::function<void(StoreReply)> reply);

    /// The result of the last read of the key, with its age; nothing if it was never read or has been
    /// evicted.
    std::optional<CachedRow> readCached(const TableKey& key) const;
    /// Whether the circuit breaker of the table service is open.
    bool isTableUnavailable() const;
    const StoreClientCounters& counters() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

static_assert(StoreService<StoreClient>);

} // namespace lentilbay
