// Commands to the platform's table and object services, and their replies, as plain values.
//
// Controllers append commands to Blackboard::storeOutbox. The I/O layer executes them and passes each reply
// to the controller that sent the command. An unknown outcome has its own status.
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

/// A row as read. Its version increases with each write of the row; an absent row has no version.
struct TableRow {
    std::string key;
    std::string value;
    uint64_t version = 0;

    auto operator<=>(const TableRow&) const = default;
};

struct TableRead {
    std::vector<TableKey> keys;
};

/// Reads rows of a table in key order.
struct TableScan {
    std::string table;
    std::string prefix;
    /// Returns only rows after this key; empty for the first page.
    std::string after;
    uint32_t limit = 100;
};

struct TableWrite {
    TableKey key;
    /// The new value; nullopt deletes the row.
    std::optional<std::string> value;
    /// The version that the row must have (0: absent); nullopt writes unconditionally.
    std::optional<uint64_t> expectedVersion;
};

/// Applies all writes or none.
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

/// The controller that receives the reply.
enum class StoreUser : uint8_t { Claims, Configuration, Audit, Placement };

struct StoreCommand {
    /// Unique within one daemon and user.
    uint64_t id = 0;
    StoreUser user = StoreUser::Claims;
    StoreOperation operation;
    /// If the operation takes longer than this, the reply is Unavailable or Ambiguous.
    Duration timeout {};
};

enum class StoreStatus : uint8_t {
    Done,
    /// An expected version did not match, so nothing was written. The reply holds the current rows of the
    /// transaction's keys.
    Conflict,
    /// ObjectGet of a key that does not exist.
    Missing,
    /// Nothing was read or written.
    Unavailable,
    /// The reply was lost: a write may or may not have taken effect.
    Ambiguous,
};

struct StoreReply {
    uint64_t id = 0;
    StoreUser user = StoreUser::Claims;
    StoreStatus status = StoreStatus::Unavailable;
    /// One element for each key read (or, with Conflict, written); nullopt if the row is absent. For a scan,
    /// the rows of the page.
    std::vector<std::optional<TableRow>> rows;
    /// The object returned by an ObjectGet.
    std::string body;
};

} // namespace lentilbay
