// Reads a document from a peer, one at a time: its configuration or its list of endpoints.
#pragma once

#include "lentilbay/Edge/PeerHeartbeat.h"
#include "lentilbay/Http/ClientConnection.h"

#include <functional>
#include <memory>
#include <string>

namespace lentilbay::edge {

class PeerDocument {
public:
    explicit PeerDocument(asio::io_context& context)
        : m_context(context)
    {
    }

    /// Called with the document and the header fields of the answer.
    using Done = std::function<void(const std::string& document, const http::Headers& headers)>;
    /// Asks the peer for the document at `target`, and drops the call in progress. `done` is not called if
    /// the call fails. Returns false if the peer's address cannot be read.
    bool read(const std::string& daemon, const PeerTable::Peer& peer, const std::string& target,
        TimePoint now, Done done);
    /// Whether a document is arriving, or may still begin to.
    bool isReceiving(TimePoint now) const;

private:
    asio::io_context& m_context;
    std::shared_ptr<http::ClientConnection> m_call;
    TimePoint m_startedAt {};
    /// When the call began, or when the latest bytes of its answer arrived.
    TimePoint m_activeAt {};
};

} // namespace lentilbay::edge
