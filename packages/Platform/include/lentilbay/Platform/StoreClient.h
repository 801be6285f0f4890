// Carries out the controllers' commands on the platform's table and object services over HTTP.
//
// Every command gets exactly one reply, within its timeout. A write whose answer was lost is Ambiguous and is
// never repeated here: only the controller that asked can tell by reading what became of it.
#pragma once

#include "lentilbay/Control/StoreMessages.h"
#include "lentilbay/Platform/CircuitBreaker.h"
#include "lentilbay/Platform/HttpClient.h"

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

/// Something that carries out store commands; the reply comes later and never during submit().
template <class T>
concept StoreService = requires(T service, StoreCommand command, std::function<void(StoreReply)> reply)
{
    service.submit(std::move(command), std::move(reply));
};

struct StoreClientOptions {
    /// "http://127.0.0.1:9000", without a slash at its end.
    std::string tableUrl;
    std::string objectsUrl;
    CircuitBreakerOptions breaker;
    uint64_t seed = 1;
    /// The first pause before a retry; it doubles with each, and is spread at random.
    Duration leastRetryPause = std::chrono::milliseconds(30);
    uint32_t maxRetries = 3;
    /// Rows that were read are kept for readCached().
    size_t maxCachedRows = 4096;
};

/// Counts since the start.
struct StoreClientCounters {
    uint64_t calls = 0;
    uint64_t retries = 0;
    uint64_t refusedByBreaker = 0;
    uint64_t ambiguous = 0;

    auto operator<=>(const StoreClientCounters&) const = default;
};

/// A row as it was read some time ago.
struct CachedRow {
    std::optional<TableRow> row;
    Duration age {};
};

class StoreClient {
public:
    /// Both must outlive the client; all calls are made on the io_context's thread.
    StoreClient(asio::io_context& context, HttpClient& http, StoreClientOptions options);
    StoreClient(const StoreClient&) = delete;
    StoreClient& operator=(const StoreClient&) = delete;
    ~StoreClient();

    void submit(StoreCommand command, std::function<void(StoreReply)> reply);

    /// What a read last gave for the key, with its age; nothing where it was never read or is forgotten.
    std::optional<CachedRow> readCached(const TableKey& key) const;
    /// Whether the table's breaker is open.
    bool isTableAway() const;
    const StoreClientCounters& counters() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

static_assert(StoreService<StoreClient>);

} // namespace lentilbay
