// Commits configuration changes to the table, each exactly once, and keeps the outcome of each. Private to
// Control.
#pragma once

#include "ConfigurationContext.h"
#include "ConfigurationReplica.h"

#include <map>
#include <optional>
#include <string>

namespace lentilbay {

class ChangeProposer {
public:
    ChangeProposer(ConfigurationContext& context, ConfigurationReplica& replica);

    void propose(const ConfigurationChange& change, TimePoint now);
    std::optional<ChangeState> state(const std::string& id) const;
    void step(TimePoint now);

private:
    struct PendingChange {
        PendingChange(ConfigurationChange submitted, const ConfigurationOptions& options);

        ConfigurationChange change;
        /// In canonical form.
        std::string document;
        ConfigurationHead next;
        ChangeState state;
        /// Set when the reply to a write was lost, so the write may have taken effect; only the table tells
        /// the outcome then.
        bool mayBeWritten = false;
        bool isBusy = false;
        bool isDocumentStored = false;
        TimePoint deadline;
        Backoff backoff;
    };

    void readRows(const std::string& id, PendingChange& pending);
    /// Finishes the change, or writes it if the head is the expected version.
    void decide(const std::string& id, const std::vector<std::optional<TableRow>>& rows, TimePoint now);
    void storeDocument(const std::string& id, PendingChange& pending, const std::optional<TableRow>& headRow);
    void write(const std::string& id, PendingChange& pending, const std::optional<TableRow>& headRow);
    void retry(PendingChange& pending, TimePoint now);
    void finish(PendingChange& pending, ChangeOutcome outcome, uint64_t version);
    void finishCommitted(PendingChange& pending, TimePoint now);
    void putSnapshot(const PendingChange& pending);
    void evictOldest();

    ConfigurationContext& m_context;
    ConfigurationReplica& m_replica;
    std::map<std::string, PendingChange> m_changes;
    /// Change identifiers in order of arrival.
    std::deque<std::string> m_arrivalOrder;
};

} // namespace lentilbay
