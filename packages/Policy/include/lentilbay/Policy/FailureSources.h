// Tells endpoints that fail from requests that fail at any endpoint.
//
// A failed send is evidence against the endpoint only as far as similar requests succeed at other endpoints.
// Requests are similar if they have a key in common: a part of the prompt, the whole request, or the
// organisation and route. For each key, the failures at endpoints that go on to serve other requests are
// counted, and what an endpoint's own failures contribute is left out when it is judged itself. An endpoint
// that fails alone is therefore judged as if there were no such counts.
#pragma once

#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace lentilbay {

class FailureSources {
public:
    /// The evidence of a failed send against the endpoint: 1 if similar requests do not fail elsewhere, down
    /// to 0 if all of them do. Evidence adds up: failures in a row with a sum of 2 are equally improbable at
    /// a sound endpoint, whatever the fraction of requests that fail anyway.
    /// @param keys hashes of what the request has in common with others
    double weightAgainst(uint64_t endpoint, std::span<const uint64_t> keys, TimePoint now) const;

    /// Records a failed send. It counts once the endpoint has served another request.
    void recordFailure(uint64_t endpoint, std::span<const uint64_t> keys, TimePoint now);
    /// Records that a request failed at both endpoints in the same way. The first of the failures has been
    /// recorded.
    void recordFailureAtBoth(uint64_t first, uint64_t second, std::span<const uint64_t> keys, TimePoint now);
    /// Records that the endpoint is gone, which explains its recent failures.
    void recordLost(uint64_t endpoint) { m_unexplained.erase(endpoint); }
    void recordSuccess(uint64_t endpoint, std::span<const uint64_t> keys, TimePoint now);

    /// The number of keys that are kept.
    size_t size() const { return m_sources.size(); }

private:
    /// Outcomes of sends at one endpoint, or at all.
    struct Counts {
        double failed = 0;
        double succeeded = 0;
    };
    struct Source {
        /// When the counts were last halved.
        TimePoint halvedAt {};
        Counts total;
        /// Bounded; the total includes endpoints that are not in it.
        std::unordered_map<uint64_t, Counts> endpoints;
    };
    /// A failure that counts once its endpoint has served another request.
    struct Unexplained {
        TimePoint at {};
        std::vector<uint64_t> keys;
    };

    double failureRateElsewhere(uint64_t endpoint, uint64_t key, TimePoint now) const;
    Source* find(uint64_t key, TimePoint now);
    void count(uint64_t endpoint, std::span<const uint64_t> keys, TimePoint now);
    static void halve(Source& source, TimePoint now);
    static Counts& countsOf(Source& source, uint64_t endpoint);
    void makeRoom(TimePoint now);

    /// Keys of requests that have failed.
    std::unordered_map<uint64_t, Source> m_sources;
    std::unordered_map<uint64_t, std::vector<Unexplained>> m_unexplained;
};

} // namespace lentilbay
