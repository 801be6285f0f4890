// What the end of an event stream shows: whether the endpoint has written all of it.
#pragma once

#include <cstdint>

namespace lentilbay::edge {

enum class StreamEnd : uint8_t {
    Whole,
    /// Whole, and without an event.
    Empty,
    /// Either whole or broken off: another endpoint that ends the request in the same way confirms it.
    Unconfirmed,
    Broken,
};

struct StreamEndObservation {
    /// The answer ended inside an event.
    bool hasPartialEvent = false;
    /// The answer brought events; comments are none.
    bool hasEvents = false;
    /// The answer's framing shows its end; otherwise it ended with its connection.
    bool isFramed = false;
    /// The caller has events of the stream from before this answer, so that nothing but its end may be left.
    bool isResumed = false;
};

constexpr StreamEnd readStreamEnd(const StreamEndObservation& it)
{
    if (it.hasPartialEvent)
        return StreamEnd::Broken;
    if (it.hasEvents || (it.isFramed && it.isResumed))
        return StreamEnd::Whole;
    if (it.isFramed)
        return StreamEnd::Empty;
    // A process that ends closes its connections in order, so a closed one does not show that nothing is
    // left.
    return it.isResumed ? StreamEnd::Unconfirmed : StreamEnd::Broken;
}

} // namespace lentilbay::edge
