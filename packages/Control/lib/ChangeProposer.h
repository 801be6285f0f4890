// Commits changes to the head of the table, each exactly once, and knows how each ended. Private to Control.
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
    struct Pending {
        Pending(ConfigurationChange given, const ConfigurationOptions& options);

        ConfigurationChange change;
        /// In canonical form.
        std::string document;
        ConfigurationHead next;
        ChangeState state;
        /// Whether a write may have taken effect whose answer was lost; then only the table tells the end.
        bool mayBeWritten = false;
        bool isBusy = false;
        bool isStored = false;
        TimePoint deadline;
        Backoff backoff;
    };

    void readRows(const std::string& id, Pending& pending);
    /// Finishes the change, or writes it where the head is the expected one.
    void decide(const std::string& id, const std::vector<std::optional<TableRow>>& rows, TimePoint now);
    void storeDocument(const std::string& id, Pending& pending, const std::optional<TableRow>& headRow);
    void write(const std::string& id, Pending& pending, const std::optional<TableRow>& headRow);
    void retry(Pending& pending, TimePoint now);
    void finish(Pending& pending, ChangeOutcome outcome, uint64_t version);
    void committed(Pending& pending, TimePoint now);
    void putSnapshot(const Pending& pending);
    void forgetOldest();

    ConfigurationContext& m_context;
    ConfigurationReplica& m_replica;
    std::map<std::string, Pending> m_changes;
    /// Identifiers in the order in which they came.
    std::deque<std::string> m_order;
};

} // namespace lentilbay
