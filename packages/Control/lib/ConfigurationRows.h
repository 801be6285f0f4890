// The table rows that hold the configuration, as JSON. Private to Control.
//
// configuration            head                     the newest version
// configuration            version/000000000012     a version and its difference from the one before
// configuration            snapshot                 a version whose whole document is in the object store
// configuration-roster     sequence, daemon/<name>  the daemons that must acknowledge a change
// configuration-floors     <data centre>            the acknowledgements of its daemons
#pragma once

#include "lentilbay/Control/ConfigurationMessages.h"
#include "lentilbay/Control/ConfigurationRoster.h"
#include "lentilbay/Control/StoreMessages.h"

#include <optional>
#include <string>

namespace lentilbay {

constexpr auto configurationTable = "configuration";
constexpr auto rosterTable = "configuration-roster";
constexpr auto floorTable = "configuration-floors";

/// Maximum size in bytes of a difference stored in a row; the document of a larger one is stored as an
/// object.
constexpr size_t maxRowDifference = 49'152;

struct VersionRow {
    ConfigurationHead head;
    std::string changeId;
    std::string operatorName;
    /// UTC, in human-readable form.
    std::string time;
    /// Absent if the difference is too large for a row; the whole document is then in the object store.
    std::optional<ConfigurationDifference> difference;

    bool operator==(const VersionRow&) const = default;
};

TableKey headKey();
TableKey snapshotKey();
TableKey versionKey(uint64_t version);
TableKey rosterSequenceKey();
TableKey rosterMemberKey(const DaemonId& id);
TableKey floorKey(const DataCentreId& dataCentre);
std::string documentObjectKey(const std::string& hash);

std::string printHead(const ConfigurationHead& head);
std::string printVersionRow(const VersionRow& row);
std::string printMember(const RosterMember& member);
std::string printFloors(const Acknowledgements& acknowledgements);

/// Returns std::nullopt if the row is absent or malformed.
std::optional<ConfigurationHead> parseHead(const std::optional<TableRow>& row);
std::optional<VersionRow> parseVersionRow(const std::optional<TableRow>& row);
std::optional<RosterMember> parseMember(const std::optional<TableRow>& row);
/// 0 if the row is absent or malformed.
uint64_t parseSequence(const std::optional<TableRow>& row);
/// Returns std::nullopt if the row is malformed, and an empty value if it is absent.
std::optional<Acknowledgements> parseFloors(const std::optional<TableRow>& row);

/// The version of a row, or 0 if it is absent: the expected version of a conditional write.
uint64_t rowVersion(const std::optional<TableRow>& row);

} // namespace lentilbay
