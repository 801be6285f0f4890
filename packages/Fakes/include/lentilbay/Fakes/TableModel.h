// A fake of the platform's table service: transactions of conditional writes, rate limits and faults.
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
    /// The last calls that records() keeps.
    size_t keptRecords = 100'000;
};

struct FakeRow {
    std::string key;
    std::string value;
    /// Counts up with each write of the key, over deletions too; never 0 in a row that is there.
    uint64_t version = 0;

    auto operator<=>(const FakeRow&) const = default;
};

struct FakeWrite {
    std::string table;
    std::string key;
    /// Nothing deletes the row.
    std::optional<std::string> value;
    /// 0 means absent; nothing writes in any case.
    std::optional<uint64_t> expect;
};

struct FakeKey {
    std::string table;
    std::string key;
};

struct TableAnswer {
    StoreAnswer status = StoreAnswer::Done;
    /// Of the rows written, in the order of the writes.
    std::vector<uint64_t> versions;
    /// Of a read or a conflict one for each key; of a scan the rows.
    std::vector<std::optional<FakeRow>> rows;
    /// Only where limited.
    Duration retryAfter {};
};

/// One write that took effect.
struct TableWriteRecord {
    TimePoint at {};
    std::string table;
    std::string key;
    uint64_t version = 0;
    /// Whether the caller heard nothing of it.
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

    /// All writes or none.
    TableAnswer transact(const std::vector<FakeWrite>& writes, TimePoint now);
    TableAnswer read(const std::vector<FakeKey>& keys, TimePoint now);
    /// At most limit rows whose keys begin with the prefix and come after the other key, in their order.
    TableAnswer scan(const std::string& table, const std::string& prefix, const std::string& after,
        size_t limit, TimePoint now);

    StoreFaults& faults() { return m_faults; }
    const std::vector<TableWriteRecord>& writeRecords() const { return m_writeRecords; }
    const TableCounts& counts() const { return m_counts; }

private:
    struct Cell {
        /// Nothing where the row was deleted.
        std::optional<std::string> value;
        uint64_t version = 0;
    };
    using Rows = std::map<std::string, Cell>;

    std::optional<FakeRow> rowOf(const std::string& table, const std::string& key) const;
    bool holds(const FakeWrite& write) const;
    uint64_t apply(const FakeWrite& write);
    /// The answer of a call that is not carried out, or nothing.
    std::optional<TableAnswer> refuse(RateLimiter& limiter, size_t units, TimePoint now);

    TableOptions m_options;
    RateLimiter m_writeLimiter;
    RateLimiter m_readLimiter;
    StoreFaults m_faults;
    std::map<std::string, Rows> m_tables;
    std::vector<TableWriteRecord> m_writeRecords;
    TableCounts m_counts;
};

} // namespace lentilbay::fakes
