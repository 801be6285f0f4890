// Writes acknowledgements into the table, one row for a data centre. Private to Control.
//
// Any daemon may write any row: entries are facts that never cease to hold, so rows are merged.
#pragma once

#include "ConfigurationContext.h"

#include <map>
#include <optional>

namespace lentilbay {

class FloorRecorder {
public:
    explicit FloorRecorder(ConfigurationContext& context);

    void note(const DataCentreId& dataCentre, const DaemonId& id, const Acknowledgement& acknowledgement);
    /// What is known to stand in the table, or nullptr.
    const Acknowledgement* recorded(const DataCentreId& dataCentre, const DaemonId& id) const;
    /// Names that left the roster are dropped from the rows.
    void setRoster(const Roster* roster) { m_roster = roster; }
    void step(TimePoint now);

private:
    struct Row {
        explicit Row(const ConfigurationOptions& options);

        Acknowledgements wanted;
        Acknowledgements recorded;
        /// What a write must expect; nothing while it is not known.
        std::optional<uint64_t> version;
        bool isBusy = false;
        Backoff backoff;
    };

    bool isDirty(const Row& row) const;
    void read(const DataCentreId& dataCentre, Row& row);
    void write(const DataCentreId& dataCentre, Row& row);

    ConfigurationContext& m_context;
    const Roster* m_roster = nullptr;
    std::map<DataCentreId, Row> m_rows;
};

} // namespace lentilbay
