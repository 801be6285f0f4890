// What the loss of a connection shows, for everything that draws conclusions from it: which endpoints get no
// requests for a while, which requests are blamed for crashes, and what may be sent again.
#pragma once

#include "lentilbay/Edge/EndpointRegistry.h"

namespace lentilbay::edge {

enum class ConnectionLoss : uint8_t {
    /// An idle connection had been closed; nothing was lost.
    Idle,
    /// The peer that the request was sent through is lost.
    Peer,
    /// The endpoint sent bytes that are no answer.
    InvalidAnswer,
    /// This daemon lost its links to the endpoints.
    Partition,
    /// The endpoint failed under load.
    Overload,
    /// The endpoint failed.
    Crash,
};

struct LossObservation {
    bool isThroughPeer = false;
    /// No byte of the request was sent.
    bool isUnsent = false;
    bool isInvalidAnswer = false;
    /// The links to the endpoints were not up at some time since the connection's last sign of life.
    bool wereLinksInterrupted = false;
    /// The endpoint has stated that load makes it fail, and has recently rejected requests for lack of room.
    bool isOverloaded = false;
};

constexpr ConnectionLoss readLoss(const LossObservation& it)
{
    if (it.isUnsent)
        return ConnectionLoss::Idle;
    if (it.isThroughPeer)
        return ConnectionLoss::Peer;
    if (it.isInvalidAnswer)
        return ConnectionLoss::InvalidAnswer;
    if (it.wereLinksInterrupted)
        return ConnectionLoss::Partition;
    return it.isOverloaded ? ConnectionLoss::Overload : ConnectionLoss::Crash;
}

/// What the loss says about the endpoint.
constexpr SendOutcome sendOutcomeOf(ConnectionLoss loss)
{
    switch (loss) {
    case ConnectionLoss::Idle:
    case ConnectionLoss::Peer:
    case ConnectionLoss::Partition:
        return SendOutcome::Neutral;
    case ConnectionLoss::InvalidAnswer:
    case ConnectionLoss::Overload:
    case ConnectionLoss::Crash:
        break;
    }
    return SendOutcome::Failed;
}

/// Whether the request may have caused it, so that it is not sent to endpoint after endpoint.
constexpr bool mayBeCausedByRequest(ConnectionLoss loss)
{
    return loss == ConnectionLoss::Crash || loss == ConnectionLoss::Peer;
}

} // namespace lentilbay::edge
