// Keeps rows in ordered maps. All conditions of a transaction are checked before its first write.
#include "lentilbay/Fakes/TableModel.h"

#include <algorithm>

namespace lentilbay::fakes {

TableModel::TableModel(TableOptions options)
    : m_options(options)
    , m_writeLimiter(options.writesPerSecond, options.writesPerSecond)
    , m_readLimiter(options.readsPerSecond, options.readsPerSecond)
{
}

TableResponse TableModel::transact(const std::vector<FakeWrite>& writes, TimePoint now)
{
    if (auto rejection = checkAdmission(m_writeLimiter, writes.size(), now))
        return *rejection;
    ++m_counts.transactions;
    TableResponse answer;
    if (!std::ranges::all_of(writes, [&](const FakeWrite& it) { return conditionHolds(it); })) {
        ++m_counts.conflicts;
        for (const auto& it : writes)
            answer.rows.push_back(rowOf(it.table, it.key));
        answer.status = consumeResponseFault(m_faults, FakeStoreStatus::Conflict);
        return answer;
    }
    answer.status = consumeResponseFault(m_faults, FakeStoreStatus::Done);
    for (const auto& it : writes) {
        answer.versions.push_back(apply(it));
        m_writeRecords.push_back({ .at = now,
            .table = it.table,
            .key = it.key,
            .version = answer.versions.back(),
            .answerLost = answer.status == FakeStoreStatus::Lost });
    }
    m_counts.writes += writes.size();
    if (m_writeRecords.size() > 2 * m_options.maxRetainedRecords)
        m_writeRecords.erase(
            m_writeRecords.begin(), m_writeRecords.end() - static_cast<long>(m_options.maxRetainedRecords));
    return answer;
}

TableResponse TableModel::read(const std::vector<FakeKey>& keys, TimePoint now)
{
    if (auto rejection = checkAdmission(m_readLimiter, keys.size(), now))
        return *rejection;
    m_counts.reads += keys.size();
    TableResponse answer { .status = consumeResponseFault(m_faults, FakeStoreStatus::Done) };
    for (const auto& it : keys)
        answer.rows.push_back(rowOf(it.table, it.key));
    return answer;
}

TableResponse TableModel::scan(const std::string& table, const std::string& prefix, const std::string& after,
    size_t limit, TimePoint now)
{
    if (auto rejection = checkAdmission(m_readLimiter, 1, now))
        return *rejection;
    ++m_counts.reads;
    TableResponse answer { .status = consumeResponseFault(m_faults, FakeStoreStatus::Done) };
    const auto& rows = m_tables[table];
    for (auto it = rows.lower_bound(std::max(prefix, after)); it != rows.end(); ++it) {
        if (answer.rows.size() == limit || !it->first.starts_with(prefix))
            break;
        if (it->second.value && it->first != after)
            answer.rows.push_back(
                FakeRow { .key = it->first, .value = *it->second.value, .version = it->second.version });
    }
    return answer;
}

std::optional<FakeRow> TableModel::rowOf(const std::string& table, const std::string& key) const
{
    const auto rows = m_tables.find(table);
    if (rows == m_tables.end())
        return std::nullopt;
    const auto it = rows->second.find(key);
    if (it == rows->second.end() || !it->second.value)
        return std::nullopt;
    return FakeRow { .key = key, .value = *it->second.value, .version = it->second.version };
}

bool TableModel::conditionHolds(const FakeWrite& write) const
{
    if (!write.expect)
        return true;
    const auto row = rowOf(write.table, write.key);
    return (row ? row->version : 0) == *write.expect;
}

uint64_t TableModel::apply(const FakeWrite& write)
{
    auto& cell = m_tables[write.table][write.key];
    cell.value = write.value;
    return ++cell.version;
}

std::optional<TableResponse> TableModel::checkAdmission(RateLimiter& limiter, size_t units, TimePoint now)
{
    if (const auto fault = consumeRequestFault(m_faults); fault != FakeStoreStatus::Done)
        return TableResponse { .status = fault };
    const auto wait = limiter.take(static_cast<double>(units), now);
    if (!wait)
        return std::nullopt;
    ++m_counts.limited;
    return TableResponse { .status = FakeStoreStatus::Limited, .retryAfter = *wait };
}

} // namespace lentilbay::fakes
