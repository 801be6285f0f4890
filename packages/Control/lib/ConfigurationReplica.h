// This daemon's copy of the configuration: the newest known version, the version in force, and the
// differences between them. Private to Control.
#pragma once

#include "ConfigurationContext.h"
#include "ConfigurationRows.h"

#include <deque>
#include <optional>
#include <string>

namespace lentilbay {

class ConfigurationReplica {
public:
    explicit ConfigurationReplica(ConfigurationContext& context);

    /// Records a version that is or was in the table. Returns false and changes nothing if the version is
    /// older than the newest known one, or has the same number and another hash.
    bool noteHead(const ConfigurationHead& head, TimePoint now);
    /// Puts the versions that directly follow the one in force in force, and ignores all others.
    void applyDeltas(const std::vector<ConfigurationDelta>& deltas, TimePoint now);
    void applyDocument(const ConfigurationHead& head, const std::string& document, TimePoint now);
    /// The daemon to ask for the document if the table does not answer.
    void setFallbackPeer(const DaemonId& peer, const std::string& address);
    /// Fetches the missing versions.
    void step(TimePoint now);

    const ConfigurationHead& head() const { return m_head; }
    const ConfigurationHead& inForce() const { return m_inForce; }
    const std::string& document() const { return m_document; }
    /// When the first version newer than the one in force became known; nothing if there is none.
    std::optional<TimePoint> behindSince() const;
    /// The available differences after a version, up to the size limit of a message.
    std::vector<ConfigurationDelta> deltasAfter(uint64_t version) const;

private:
    void putInForce(const ConfigurationHead& head, std::string document);
    void fetchVersions(TimePoint now);
    void fetchSnapshot(TimePoint now);
    void fetchObject(const ConfigurationHead& head);
    void applyRows(const std::vector<std::optional<TableRow>>& rows, TimePoint now);
    void fetchFailed(TimePoint now);

    ConfigurationContext& m_context;
    ConfigurationHead m_head;
    /// Never decreases and never exceeds m_head.
    ConfigurationHead m_inForce;
    std::string m_document;
    struct PendingVersion {
        uint64_t version;
        TimePoint at;
    };
    /// The known versions above m_inForce, with the time at which each became known.
    std::deque<PendingVersion> m_pendingVersions;
    /// The latest differences in version order; the last one leads to m_inForce.
    std::deque<ConfigurationDelta> m_deltas;
    bool m_fetching = false;
    bool m_snapshotTried = false;
    Backoff m_backoff;
    DaemonId m_fallbackPeer;
    std::string m_fallbackPeerAddress;
};

} // namespace lentilbay
