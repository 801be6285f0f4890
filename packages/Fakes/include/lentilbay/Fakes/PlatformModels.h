// Fakes of the platform's object store, weight store and host list.
#pragma once

#include "lentilbay/Fakes/RateLimiter.h"
#include "lentilbay/Fakes/StoreFaults.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilbay::fakes {

struct ObjectOptions {
    double callsPerSecond = 2'000;
};

struct ObjectResponse {
    FakeStoreStatus status = FakeStoreStatus::Done;
    std::string body;
    /// Set only if the status is Limited.
    Duration retryAfter {};
};

class ObjectModel {
public:
    explicit ObjectModel(ObjectOptions options = {})
        : m_limiter(options.callsPerSecond, options.callsPerSecond)
    {
    }

    ObjectResponse put(const std::string& key, std::string body, TimePoint now);
    ObjectResponse get(const std::string& key, TimePoint now);

    StoreFaults& faults() { return m_faults; }
    uint64_t puts() const { return m_puts; }
    uint64_t gets() const { return m_gets; }

private:
    /// Returns the response if a fault or the rate limit rejects the call, else nullopt.
    std::optional<ObjectResponse> checkAdmission(TimePoint now);

    RateLimiter m_limiter;
    StoreFaults m_faults;
    std::map<std::string, std::string> m_objects;
    uint64_t m_puts = 0;
    uint64_t m_gets = 0;
};

struct WeightOptions {
    double bytesPerSecond = 64.0 * 1'048'576;
    /// The size of each model's weights.
    uint64_t weightBytes = 1'048'576;
};

class WeightModel {
public:
    explicit WeightModel(WeightOptions options = {})
        : m_options(options)
        , m_limiter(options.bytesPerSecond, options.bytesPerSecond)
    {
    }

    /// Returns nullopt if the weights can be read now, else how long the caller must wait.
    std::optional<Duration> fetch(TimePoint now)
    {
        const auto wait = m_limiter.take(static_cast<double>(m_options.weightBytes), now);
        ++(wait ? m_limited : m_fetched);
        return wait;
    }

    uint64_t weightBytes() const { return m_options.weightBytes; }
    uint64_t fetched() const { return m_fetched; }
    uint64_t limited() const { return m_limited; }

private:
    WeightOptions m_options;
    RateLimiter m_limiter;
    uint64_t m_fetched = 0;
    uint64_t m_limited = 0;
};

struct FakeHost {
    std::string name;
    std::string address;
    bool leaving = false;

    auto operator<=>(const FakeHost&) const = default;
};

class HostListModel {
public:
    /// Sets the hosts that exist from now on.
    void setHosts(std::vector<FakeHost> hosts, TimePoint now);
    /// The hosts that existed lag() ago; empty if none had been set by then.
    std::vector<FakeHost> listedHosts(TimePoint now) const;

    Duration& lag() { return m_lag; }

private:
    struct State {
        TimePoint since {};
        std::vector<FakeHost> hosts;
    };

    Duration m_lag {};
    /// Oldest first.
    std::deque<State> m_states;
};

} // namespace lentilbay::fakes
