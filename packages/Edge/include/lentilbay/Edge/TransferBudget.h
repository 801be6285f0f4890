// Bounds the rate at which a daemon serves documents to its peers.
//
// The configuration of a large fleet takes a slow link for a part of a second, and after a change many peers
// may ask for it at once. Requests, answers and heartbeats would wait behind all that the link has been
// given.
#pragma once

#include "lentilbay/Support/Time.h"

#include <cstddef>

namespace lentilbay::edge {

class TransferBudget {
public:
    /// @param linkBytesPerSecond the bandwidth of the host; 0 if it is not known, for no bound
    explicit TransferBudget(double linkBytesPerSecond)
        : m_bytesPerSecond(linkBytesPerSecond * linkFraction)
    {
    }

    /// Whether a document of this size may be sent now; if so, it is counted. One document at a time is
    /// admitted, until the fraction of the link that is meant for them has carried it.
    bool admit(size_t bytes, TimePoint now)
    {
        if (m_bytesPerSecond <= 0 || bytes <= smallDocumentBytes)
            return true;
        if (now < m_freeAt)
            return false;
        m_freeAt = now + fromSeconds(static_cast<double>(bytes) / m_bytesPerSecond);
        return true;
    }

    /// The rest of the link is for callers and endpoints.
    static constexpr double linkFraction = 0.25;
    /// A few packets.
    static constexpr size_t smallDocumentBytes = 4096;

private:
    double m_bytesPerSecond;
    /// When the documents admitted so far have been carried.
    TimePoint m_freeAt {};
};

} // namespace lentilbay::edge
