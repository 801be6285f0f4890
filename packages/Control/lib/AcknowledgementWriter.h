// Stores acknowledgements in the table, one row per data centre. Private to Control.
//
// Any daemon may write any row: an acknowledgement stays true once given, so rows can be merged.
#pragma once

#include "ConfigurationContext.h"

#include <map>
#include <optional>

namespace lentilbay {

class AcknowledgementWriter {
public:
    explicit AcknowledgementWriter(ConfigurationContext& context);

    void record(const DataCentreId& dataCentre, const DaemonId& id, const Acknowledgement& acknowledgement);
    /// The acknowledgement known to be stored in the table, or nullptr.
    const Acknowledgement* recorded(const DataCentreId& dataCentre, const DaemonId& id) const;
    /// Daemons that were removed from the roster are dropped from the rows.
    void setRoster(const Roster* roster) { m_roster = roster; }
    void step(TimePoint now);

private:
    struct Row {
        explicit Row(const ConfigurationOptions& options);

        Acknowledgements desired;
        Acknowledgements recorded;
        /// The row version that a write must expect; nothing if it is unknown.
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
