// What an endpoint states about itself in its answers.
#pragma once

#include <compare>
#include <optional>

namespace lentilbay {

struct EndpointSignals {
    /// The requests per second that the endpoint accepts from all daemons together; std::nullopt for no
    /// limit.
    std::optional<double> maxRequestsPerSecond;
    /// The endpoint fails if it has to reject more than so many requests in a second for lack of room;
    /// std::nullopt if it does not fail for that.
    std::optional<double> maxRejectionsPerSecond;
    /// The endpoint is about to stop and accepts no new requests.
    bool isLeaving = false;

    auto operator<=>(const EndpointSignals&) const = default;
};

} // namespace lentilbay
