// Finds where a stream began that a request resumes, and an endpoint of the software version that began it.
//
// An origin is known to this daemon, follows from a current list of endpoints with one version, or is asked
// of the other daemons and of the store. Before a stream of a version without endpoints is given up, a list
// is read that is recent: a daemon that learns of changes from others reads them up to a second later.
#pragma once

#include "lentilbay/Edge/EdgeState.h"

#include <string_view>
#include <vector>

namespace lentilbay::edge {

class StreamOriginLookup : public std::enable_shared_from_this<StreamOriginLookup> {
public:
    struct Query {
        /// The services at which the stream may have begun.
        std::vector<ServiceId> services;
        /// The service of the request if all of them have one software version.
        ServiceId service;
        /// Identifies the stream for all daemons; std::nullopt if the caller does not name it.
        std::optional<uint64_t> stream;
        TimePoint arrivedAt {};
    };
    /// `source` is where the origin was found.
    using Done = std::function<void(const std::optional<StreamOrigin>& origin, std::string_view source)>;

    /// @param done is not called after the lookup has been destroyed
    StreamOriginLookup(EdgeState& state, Query query, Done done);

    /// Looks up the origin; `done` may be called immediately.
    void start(TimePoint now);
    /// Calls `done` with this origin, once a recent list of endpoints is known if there is none of its
    /// version.
    void found(const std::optional<StreamOrigin>& origin, std::string_view source, TimePoint now);

private:
    /// Whether no second software version of the services is known.
    bool mayHaveSoleVersion(TimePoint now) const;
    /// The origin of each stream, if the services have one software version according to a current list.
    std::optional<StreamOrigin> soleOrigin(bool isListCurrent, TimePoint now) const;
    bool hasEndpoint(const StreamOrigin& origin) const;
    /// `isListCurrent` is whether each endpoint is known that may have begun the stream.
    void find(bool isListCurrent, TimePoint now);
    /// Called with what the other daemons or the store have answered.
    void answered(const std::optional<StreamOrigin>& origin, std::string_view source, bool isListCurrent);
    /// Calls `next` when the list of endpoints is as of `since` or later, or the timeout has passed.
    void awaitList(
        TimePoint since, Duration timeout, TimePoint now, std::function<void(bool isCurrent)> next);

    EdgeState& m_state;
    Query m_query;
    Done m_done;
};

} // namespace lentilbay::edge
