// Commits one change: reads the head, writes the next version on condition that the head is unchanged, and
// reads again when the result of the write is unknown.
#include "ChangeProposer.h"

#include "lentilbay/Model/ConfigurationText.h"
#include "lentilbay/Support/Secret.h"

#include <utility>

namespace lentilbay {
namespace {

constexpr size_t maxRetainedChanges = 256;
constexpr Duration minBackoff = std::chrono::milliseconds(100);
/// A change whose write certainly did not take effect fails after this time.
constexpr Duration changeTimeout = std::chrono::seconds(15);

} // namespace

ChangeProposer::PendingChange::PendingChange(
    ConfigurationChange submitted, const ConfigurationOptions& options)
    : change(std::move(submitted))
    , backoff(minBackoff, options.maxBackoff)
{
}

ChangeProposer::ChangeProposer(ConfigurationContext& context, ConfigurationReplica& replica)
    : m_context(context)
    , m_replica(replica)
{
}

void ChangeProposer::propose(const ConfigurationChange& change, TimePoint now)
{
    const auto known = m_changes.find(change.id);
    if (known != m_changes.end() && known->second.state.outcome != ChangeOutcome::Unavailable)
        return;
    if (known != m_changes.end())
        m_changes.erase(known);
    else
        m_arrivalOrder.push_back(change.id);
    auto& pending = m_changes.try_emplace(change.id, change, m_context.options).first->second;
    const auto configuration = parseConfiguration(change.document, "document", pending.state.faults);
    if (!pending.state.faults.empty())
        return finish(pending, ChangeOutcome::Refused, m_replica.head().version);
    pending.document = printConfiguration(configuration);
    pending.next = { .version = change.expectedVersion + 1, .hash = sha256Hex(pending.document) };
    pending.deadline = now + changeTimeout;
    evictOldest();
}

std::optional<ChangeState> ChangeProposer::state(const std::string& id) const
{
    const auto it = m_changes.find(id);
    if (it == m_changes.end())
        return std::nullopt;
    return it->second.state;
}

void ChangeProposer::step(TimePoint now)
{
    for (auto& [id, pending] : m_changes) {
        const bool isOpen = pending.state.outcome == ChangeOutcome::Unresolved;
        if (isOpen && !pending.isBusy && pending.backoff.isDue(now))
            readRows(id, pending);
    }
}

void ChangeProposer::readRows(const std::string& id, PendingChange& pending)
{
    pending.isBusy = true;
    TableRead read { .keys = { headKey(), versionKey(pending.next.version) } };
    m_context.store.call(std::move(read), [this, id](const StoreReply& reply, TimePoint at) {
        auto& change = m_changes.at(id);
        change.isBusy = false;
        if (reply.status != StoreStatus::Done || reply.rows.size() != 2)
            return retry(change, at);
        decide(id, reply.rows, at);
    });
}

void ChangeProposer::decide(
    const std::string& id, const std::vector<std::optional<TableRow>>& rows, TimePoint now)
{
    auto& pending = m_changes.at(id);
    const auto head = parseHead(rows[0]).value_or(ConfigurationHead {});
    const auto own = parseVersionRow(rows[1]);
    if (head.version < m_replica.head().version)
        return retry(pending, now);
    m_replica.noteHead(head, now);
    if (own && own->changeId == pending.change.id)
        return finishCommitted(pending, now);
    if (head.version > 0 && head.hash == pending.next.hash)
        return finish(pending, ChangeOutcome::Unchanged, head.version);
    if (head.version != pending.change.expectedVersion)
        return finish(pending, ChangeOutcome::Conflict, head.version);
    if (m_replica.inForce() != head && head.version != 0)
        return retry(pending, now);
    storeDocument(id, pending, rows[0]);
}

/// Puts the document into the object store first if its difference is too large for a row.
void ChangeProposer::storeDocument(
    const std::string& id, PendingChange& pending, const std::optional<TableRow>& headRow)
{
    const auto difference = differenceOf(m_replica.document(), pending.document);
    if (pending.isDocumentStored || difference.changed.size() <= maxRowDifference)
        return write(id, pending, headRow);
    pending.isBusy = true;
    ObjectPut put { .key = documentObjectKey(pending.next.hash), .body = pending.document };
    m_context.store.call(std::move(put), [this, id](const StoreReply& reply, TimePoint at) {
        auto& change = m_changes.at(id);
        change.isBusy = false;
        change.isDocumentStored = reply.status == StoreStatus::Done;
        retry(change, at);
    });
}

void ChangeProposer::write(
    const std::string& id, PendingChange& pending, const std::optional<TableRow>& headRow)
{
    VersionRow row { .head = pending.next,
        .changeId = id,
        .operatorName = pending.change.operatorName,
        .time = pending.change.time,
        .difference = std::nullopt };
    if (!pending.isDocumentStored)
        row.difference = differenceOf(m_replica.document(), pending.document);
    TableTransaction transaction;
    transaction.writes.push_back({ headKey(), printHead(pending.next), rowVersion(headRow) });
    transaction.writes.push_back({ versionKey(pending.next.version), printVersionRow(row), 0 });
    pending.isBusy = true;
    m_context.store.call(std::move(transaction), [this, id](const StoreReply& reply, TimePoint at) {
        auto& change = m_changes.at(id);
        change.isBusy = false;
        if (reply.status == StoreStatus::Done)
            return finishCommitted(change, at);
        change.mayBeWritten = change.mayBeWritten || reply.status == StoreStatus::Ambiguous;
        retry(change, at);
    });
}

void ChangeProposer::retry(PendingChange& pending, TimePoint now)
{
    if (!pending.mayBeWritten && now >= pending.deadline)
        return finish(pending, ChangeOutcome::Unavailable, m_replica.head().version);
    pending.backoff.recordFailure(now, m_context.random);
}

void ChangeProposer::finish(PendingChange& pending, ChangeOutcome outcome, uint64_t version)
{
    pending.state.outcome = outcome;
    pending.state.version = version;
}

void ChangeProposer::finishCommitted(PendingChange& pending, TimePoint now)
{
    finish(pending, ChangeOutcome::Committed, pending.next.version);
    m_replica.noteHead(pending.next, now);
    if (m_replica.inForce().version + 1 == pending.next.version) {
        const auto difference = differenceOf(m_replica.document(), pending.document);
        m_replica.applyDeltas({ { .version = pending.next.version, .difference = difference } }, now);
    }
    if (pending.next.version % m_context.options.snapshotInterval == 0)
        putSnapshot(pending);
}

/// Stores a snapshot so that starting daemons read fewer versions. A failure is ignored, since nothing
/// depends on the snapshot.
void ChangeProposer::putSnapshot(const PendingChange& pending)
{
    ObjectPut put { .key = documentObjectKey(pending.next.hash), .body = pending.document };
    m_context.store.call(std::move(put), [this, head = pending.next](const StoreReply& reply, TimePoint) {
        if (reply.status != StoreStatus::Done)
            return;
        TableTransaction transaction;
        transaction.writes.push_back({ snapshotKey(), printHead(head), std::nullopt });
        m_context.store.call(std::move(transaction), [](const StoreReply&, TimePoint) {});
    });
}

void ChangeProposer::evictOldest()
{
    while (m_arrivalOrder.size() > maxRetainedChanges) {
        const auto it = m_changes.find(m_arrivalOrder.front());
        if (it->second.isBusy || it->second.state.outcome == ChangeOutcome::Unresolved)
            return;
        m_changes.erase(it);
        m_arrivalOrder.pop_front();
    }
}

} // namespace lentilbay
