// The rows of the table that hold the configuration, as JSON. Private to Control.
//
// configuration            head                     the newest version
// configuration            version/000000000012     a version and its difference from the one before
// configuration            snapshot                 a version whose whole document is in the object store
// configuration-roster     sequence, daemon/<name>  who must acknowledge
// configuration-floors     <data centre>            who has
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

/// Rows with a longer difference name an object instead.
constexpr size_t maxRowDifference = 49'152;

struct VersionRow {
    ConfigurationHead head;
    std::string changeId;
    std::string operatorName;
    /// UTC, as text for people.
    std::string time;
    /// Nothing where the difference is too large for a row; the whole document is an object then.
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

/// Nothing where the row is absent or not understood.
std::optional<ConfigurationHead> parseHead(const std::optional<TableRow>& row);
std::optional<VersionRow> parseVersionRow(const std::optional<TableRow>& row);
std::optional<RosterMember> parseMember(const std::optional<TableRow>& row);
/// 0 where the row is absent or not understood.
uint64_t parseSequence(const std::optional<TableRow>& row);
/// Nothing where the row is not understood; empty where it is absent.
std::optional<Acknowledgements> parseFloors(const std::optional<TableRow>& row);

/// The version of a row, or 0 where it is absent: what a conditional write must expect.
uint64_t rowVersion(const std::optional<TableRow>& row);

} // namespace lentilbay
