// What controllers ask of the platform's table and object services, and the answers, as plain values.
//
// Controllers append commands to Blackboard::storeOutbox; input and output carry them out and hand the reply
// to the controller that asked. An outcome that is not known has a status of its own.
#pragma once

#include "lentilbay/Support/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lentilbay {

struct TableKey {
    std::string table;
    std::string key;

    auto operator<=>(const TableKey&) const = default;
};

/// A row as it was read. Versions count up with each write of the row; an absent row has none.
struct TableRow {
    std::string key;
    std::string value;
    uint64_t version = 0;

    auto operator<=>(const TableRow&) const = default;
};

struct TableRead {
    std::vector<TableKey> keys;
};

/// Rows of a table in the order of their keys.
struct TableScan {
    std::string table;
    std::string prefix;
    /// Rows after this key only; empty for the first page.
    std::string after;
    uint32_t limit = 100;
};

struct TableWrite {
    TableKey key;
    /// Nothing deletes the row.
    std::optional<std::string> value;
    /// The version that the row must have (0: absent); nothing writes in any case.
    std::optional<uint64_t> expectedVersion;
};

/// All writes or none.
struct TableTransaction {
    std::vector<TableWrite> writes;
};

struct ObjectPut {
    std::string key;
    std::string body;
};

struct ObjectGet {
    std::string key;
};

using StoreOperation = std::variant<TableRead, TableScan, TableTransaction, ObjectPut, ObjectGet>;

/// The controller that a reply goes to.
enum class StoreUser : uint8_t { Claims, Configuration, Audit, Placement };

struct StoreCommand {
    /// Unique within one daemon and user.
    uint64_t id = 0;
    StoreUser user = StoreUser::Claims;
    StoreOperation operation;
    /// The reply comes by then, if only as Unavailable or Ambiguous.
    Duration timeout {};
};

enum class StoreStatus : uint8_t {
    Done,
    /// A condition did not hold, so nothing was written; the reply's rows are the present ones of the
    /// transaction's keys.
    Conflict,
    /// ObjectGet of a key that is not there.
    Missing,
    /// Nothing was read or written.
    Unavailable,
    /// The answer was lost: a write may or may not have taken effect.
    Ambiguous,
};

struct StoreReply {
    uint64_t id = 0;
    StoreUser user = StoreUser::Claims;
    StoreStatus status = StoreStatus::Unavailable;
    /// One for each key read (or written, with Conflict); nothing where the row is absent. For a scan, the
    /// rows.
    std::vector<std::optional<TableRow>> rows;
    /// The body of an ObjectGet.
    std::string body;
};

} // namespace lentilbay
