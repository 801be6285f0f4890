// A document is rebuilt from the last snapshot below it and the differences after that.
#include "VersionReader.h"

#include "lentilbay/Support/Secret.h"

#include <utility>

namespace lentilbay {

struct VersionReader::Reading {
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
    auto reading = std::make_shared<Reading>();
    reading->callback = std::move(callback);
    // The versions at multiples of the interval are objects; below the first, differences lead from nothing.
    const auto interval = m_context.options.snapshotInterval;
    const auto base = std::max<uint64_t>(1, version / interval * interval);
    TableRead read;
    for (auto it = base; it <= version; ++it)
        read.keys.push_back(versionKey(it));
    m_context.store.call(std::move(read), [this, reading](const StoreReply& reply, TimePoint) {
        if (reply.status != StoreStatus::Done || reply.rows.empty())
            return reading->callback(std::nullopt);
        for (const auto& row : reply.rows)
            reading->rows.push_back(parseVersionRow(row));
        start(reading);
    });
}

void VersionReader::start(const std::shared_ptr<Reading>& reading)
{
    const auto& first = reading->rows.front();
    const bool isFirstVersion = first && first->head.version == 1;
    if (isFirstVersion)
        return apply(reading, 0);
    fetch(reading, 0);
}

/// Takes the document of a row from the object store and goes on behind it.
void VersionReader::fetch(const std::shared_ptr<Reading>& reading, size_t next)
{
    const auto& row = reading->rows[next];
    if (!row)
        return reading->callback(std::nullopt);
    const auto hash = row->head.hash;
    m_context.store.call(ObjectGet { .key = documentObjectKey(hash) },
        [this, reading, next, hash](const StoreReply& reply, TimePoint) {
            if (reply.status != StoreStatus::Done || sha256Hex(reply.body) != hash)
                return reading->callback(std::nullopt);
            reading->document = reply.body;
            apply(reading, next + 1);
        });
}

void VersionReader::apply(const std::shared_ptr<Reading>& reading, size_t next)
{
    for (; next < reading->rows.size(); ++next) {
        const auto& row = reading->rows[next];
        if (!row)
            return reading->callback(std::nullopt);
        if (!row->difference)
            return fetch(reading, next);
        auto document
            = outcomeOf<std::string>([&] { return applyDifference(reading->document, *row->difference); });
        if (!std::holds_alternative<std::string>(document))
            return reading->callback(std::nullopt);
        reading->document = std::move(std::get<std::string>(document));
    }
    reading->callback(reading->document);
}

} // namespace lentilbay
