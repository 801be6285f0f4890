// A fake of the platform's table service: transactions of conditional writes, rate limits and fault
// injection.
#pragma once

#include "lentilbay/Fakes/RateLimiter.h"
#include "lentilbay/Fakes/StoreFaults.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilbay::fakes {

struct TableOptions {
    double writesPerSecond = 500;
    double readsPerSecond = 2'000;
    /// How many of the latest write records are kept, at least.
    size_t maxRetainedRecords = 100'000;
};

struct FakeRow {
    std::string key;
    std::string value;
    /// Incremented by each write of the key, including deletions; never 0 in an existing row.
    uint64_t version = 0;

    auto operator<=>(const FakeRow&) const = default;
};

struct FakeWrite {
    std::string table;
    std::string key;
    /// nullopt deletes the row.
    std::optional<std::string> value;
    /// The version that the row must have, 0 if it must not exist; nullopt writes unconditionally.
    std::optional<uint64_t> expect;
};

struct FakeKey {
    std::string table;
    std::string key;
};

struct TableResponse {
    FakeStoreStatus status = FakeStoreStatus::Done;
    /// The versions of the written rows, in the order of the writes.
    std::vector<uint64_t> versions;
    /// For a read or a conflict, one entry for each key; for a scan, the rows found.
    std::vector<std::optional<FakeRow>> rows;
    /// Set only if the status is Limited.
    Duration retryAfter {};
};

/// One write that took effect.
struct TableWriteRecord {
    TimePoint at {};
    std::string table;
    std::string key;
    uint64_t version = 0;
    /// Whether the response was lost.
    bool answerLost = false;
};

struct TableCounts {
    uint64_t transactions = 0;
    uint64_t writes = 0;
    uint64_t conflicts = 0;
    uint64_t reads = 0;
    uint64_t limited = 0;
};

class TableModel {
public:
    explicit TableModel(TableOptions options = {});

    /// Applies all writes, or none if a condition does not hold.
    TableResponse transact(const std::vector<FakeWrite>& writes, TimePoint now);
    TableResponse read(const std::vector<FakeKey>& keys, TimePoint now);
    /// Returns at most limit rows, in key order, whose keys start with the prefix and follow the key after.
    TableResponse scan(const std::string& table, const std::string& prefix, const std::string& after,
        size_t limit, TimePoint now);

    StoreFaults& faults() { return m_faults; }
    const std::vector<TableWriteRecord>& writeRecords() const { return m_writeRecords; }
    const TableCounts& counts() const { return m_counts; }

private:
    struct Cell {
        /// nullopt if the row was deleted.
        std::optional<std::string> value;
        uint64_t version = 0;
    };
    using Rows = std::map<std::string, Cell>;

    std::optional<FakeRow> rowOf(const std::string& table, const std::string& key) const;
    bool conditionHolds(const FakeWrite& write) const;
    uint64_t apply(const FakeWrite& write);
    /// Returns the response if a fault or the rate limit rejects the call, else nullopt.
    std::optional<TableResponse> checkAdmission(RateLimiter& limiter, size_t units, TimePoint now);

    TableOptions m_options;
    RateLimiter m_writeLimiter;
    RateLimiter m_readLimiter;
    StoreFaults m_faults;
    std::map<std::string, Rows> m_tables;
    std::vector<TableWriteRecord> m_writeRecords;
    TableCounts m_counts;
};

} // namespace lentilbay::fakes
