// This daemon's copy of the configuration: the newest version that it knows of, the one in force, and the way
// from one to the other. Private to Control.
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

    /// Notes a version that stands or stood in the table. An older one than known changes nothing, and
    /// neither does another hash for the known version: false for both.
    bool learn(const ConfigurationHead& head, TimePoint now);
    /// Puts versions in force that follow the one in force, and ignores all others.
    void take(const std::vector<ConfigurationStep>& steps, TimePoint now);
    void takeDocument(const ConfigurationHead& head, const std::string& document, TimePoint now);
    /// Whom to ask for the document where the table does not answer.
    void setPeer(const DaemonId& peer, const std::string& address);
    /// Fetches what is missing.
    void step(TimePoint now);

    const ConfigurationHead& head() const { return m_head; }
    const ConfigurationHead& inForce() const { return m_inForce; }
    const std::string& document() const { return m_document; }
    /// Since when a version is known that is newer than the one in force; of several, the first.
    std::optional<TimePoint> behindSince() const;
    /// The steps after a version, as far as they are at hand and fit into a message.
    std::vector<ConfigurationStep> stepsAfter(uint64_t version) const;

private:
    void putInForce(const ConfigurationHead& head, std::string document);
    void fetchVersions(TimePoint now);
    void fetchSnapshot(TimePoint now);
    void fetchObject(const ConfigurationHead& head);
    void takeRows(const std::vector<std::optional<TableRow>>& rows, TimePoint now);
    void fetchFailed(TimePoint now);

    ConfigurationContext& m_context;
    ConfigurationHead m_head;
    /// Never lower than it was, and never above m_head.
    ConfigurationHead m_inForce;
    std::string m_document;
    struct Learned {
        uint64_t version;
        TimePoint at;
    };
    /// The versions above m_inForce as they became known.
    std::deque<Learned> m_learned;
    /// The latest steps, in the order of their versions, the last of them m_inForce.
    std::deque<ConfigurationStep> m_steps;
    bool m_fetching = false;
    bool m_triedSnapshot = false;
    Backoff m_backoff;
    DaemonId m_peer;
    std::string m_peerAddress;
};

} // namespace lentilbay
