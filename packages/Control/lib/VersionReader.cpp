// Rebuilds a document from the last snapshot at or below its version and the differences after that.
#include "VersionReader.h"

#include "lentilbay/Support/Secret.h"

#include <utility>

namespace lentilbay {

struct VersionReader::PendingRead {
    DocumentCallback callback;
    std::vector<std::optional<VersionRow>> rows;
    std::string document;
};

void VersionReader::readHistory(uint64_t newest, uint64_t limit, HistoryCallback callback)
{
    TableRead read;
    for (auto version = newest; version > 0 && read.keys.size() < limit; --version)
        read.keys.push_back(versionKey(version));
    m_context.store.call(
        std::move(read), [callback = std::move(callback)](const StoreReply& reply, TimePoint) {
            if (reply.status != StoreStatus::Done)
                return callback(std::nullopt);
            std::vector<VersionEntry> out;
            for (const auto& it : reply.rows) {
                if (const auto row = parseVersionRow(it))
                    out.push_back(
                        { .head = row->head, .operatorName = row->operatorName, .time = row->time });
            }
            callback(std::move(out));
        });
}

void VersionReader::readDocument(uint64_t version, DocumentCallback callback)
{
    auto pending = std::make_shared<PendingRead>();
    pending->callback = std::move(callback);
    // The documents of versions at multiples of the interval are objects; before the first of them, the
    // differences start from the empty document.
    const auto interval = m_context.options.snapshotInterval;
    const auto base = std::max<uint64_t>(1, version / interval * interval);
    TableRead read;
    for (auto it = base; it <= version; ++it)
        read.keys.push_back(versionKey(it));
    m_context.store.call(std::move(read), [this, pending](const StoreReply& reply, TimePoint) {
        if (reply.status != StoreStatus::Done || reply.rows.empty())
            return pending->callback(std::nullopt);
        for (const auto& row : reply.rows)
            pending->rows.push_back(parseVersionRow(row));
        start(pending);
    });
}

void VersionReader::start(const std::shared_ptr<PendingRead>& pending)
{
    const auto& first = pending->rows.front();
    const bool isFirstVersion = first && first->head.version == 1;
    if (isFirstVersion)
        return applyDifferences(pending, 0);
    fetchDocument(pending, 0);
}

/// Reads the document of a row from the object store and continues with the next row.
void VersionReader::fetchDocument(const std::shared_ptr<PendingRead>& pending, size_t next)
{
    const auto& row = pending->rows[next];
    if (!row)
        return pending->callback(std::nullopt);
    const auto hash = row->head.hash;
    m_context.store.call(ObjectGet { .key = documentObjectKey(hash) },
        [this, pending, next, hash](const StoreReply& reply, TimePoint) {
            if (reply.status != StoreStatus::Done || sha256Hex(reply.body) != hash)
                return pending->callback(std::nullopt);
            pending->document = reply.body;
            applyDifferences(pending, next + 1);
        });
}

void VersionReader::applyDifferences(const std::shared_ptr<PendingRead>& pending, size_t next)
{
    for (; next < pending->rows.size(); ++next) {
        const auto& row = pending->rows[next];
        if (!row)
            return pending->callback(std::nullopt);
        if (!row->difference)
            return fetchDocument(pending, next);
        auto document
            = outcomeOf<std::string>([&] { return applyDifference(pending->document, *row->difference); });
        if (!std::holds_alternative<std::string>(document))
            return pending->callback(std::nullopt);
        pending->document = std::move(std::get<std::string>(document));
    }
    pending->callback(pending->document);
}

} // namespace lentilbay
