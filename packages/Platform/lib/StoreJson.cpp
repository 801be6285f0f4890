// Encodes requests to the table and object services and parses their responses.
#include "StoreJson.h"

#include <nlohmann/json.hpp>

namespace lentilbay {
namespace {

using Json = nlohmann::json;

Json toJson(const TableRead& read)
{
    auto reads = Json::array();
    for (const auto& key : read.keys)
        reads.push_back({ { "table", key.table }, { "key", key.key } });
    return { { "reads", std::move(reads) } };
}

Json toJson(const TableScan& scan)
{
    return { { "table", scan.table }, { "prefix", scan.prefix }, { "after", scan.after },
        { "limit", scan.limit } };
}

Json toJson(const TableTransaction& transaction)
{
    auto writes = Json::array();
    for (const auto& it : transaction.writes) {
        Json write { { "table", it.key.table }, { "key", it.key.key }, { "value", nullptr },
            { "expect", nullptr } };
        if (it.value)
            write["value"] = *it.value;
        if (it.expectedVersion)
            write["expect"] = *it.expectedVersion;
        writes.push_back(std::move(write));
    }
    return { { "writes", std::move(writes) } };
}

HttpCall makeTableCall(const std::string& url, const Json& body)
{
    return { .method = "POST",
        .url = url,
        .fields = { { "Content-Type", "application/json" } },
        .body = std::make_shared<const std::string>(body.dump()) };
}

std::optional<TableRow> parseRow(const Json& json)
{
    if (json.is_null())
        return std::nullopt;
    return TableRow { .key = json.at("key").get<std::string>(),
        .value = json.at("value").get<std::string>(),
        .version = json.at("version").get<uint64_t>() };
}

std::vector<std::optional<TableRow>> parseRows(const std::string& body)
{
    std::vector<std::optional<TableRow>> out;
    const auto json = Json::parse(body);
    for (const auto& it : json.at("rows"))
        out.push_back(parseRow(it));
    return out;
}

/// The number of rows that a response must have, or nothing if any number is valid.
std::optional<size_t> expectedRowCount(const StoreOperation& operation)
{
    if (const auto* read = std::get_if<TableRead>(&operation))
        return read->keys.size();
    if (const auto* transaction = std::get_if<TableTransaction>(&operation))
        return transaction->writes.size();
    return std::nullopt;
}

} // namespace

bool isObjectOperation(const StoreOperation& operation)
{
    return std::holds_alternative<ObjectPut>(operation) || std::holds_alternative<ObjectGet>(operation);
}

bool isWriteOperation(const StoreOperation& operation)
{
    return std::holds_alternative<TableTransaction>(operation)
        || std::holds_alternative<ObjectPut>(operation);
}

bool isIdempotent(const StoreOperation& operation)
{
    return !std::holds_alternative<TableTransaction>(operation);
}

HttpCall makeHttpCall(
    const StoreOperation& operation, const std::string& tableUrl, const std::string& objectsUrl)
{
    if (const auto* read = std::get_if<TableRead>(&operation))
        return makeTableCall(tableUrl + "/table/read", toJson(*read));
    if (const auto* scan = std::get_if<TableScan>(&operation))
        return makeTableCall(tableUrl + "/table/scan", toJson(*scan));
    if (const auto* transaction = std::get_if<TableTransaction>(&operation))
        return makeTableCall(tableUrl + "/table/transact", toJson(*transaction));
    if (const auto* put = std::get_if<ObjectPut>(&operation))
        return { .method = "PUT",
            .url = objectsUrl + "/objects/" + put->key,
            .body = std::make_shared<const std::string>(put->body) };
    return { .method = "GET", .url = objectsUrl + "/objects/" + std::get<ObjectGet>(operation).key };
}

std::optional<StoreReply> parseReply(const StoreOperation& operation, int status, const std::string& body)
{
    if (std::holds_alternative<ObjectGet>(operation)) {
        if (status == 404)
            return StoreReply { .status = StoreStatus::Missing };
        return StoreReply { .status = StoreStatus::Done, .body = body };
    }
    if (status == 404)
        return std::nullopt;
    const bool isWrite = isWriteOperation(operation);
    if (status == 200 && isWrite)
        return StoreReply { .status = StoreStatus::Done };
    if (std::holds_alternative<ObjectPut>(operation) || (status == 409) != isWrite)
        return std::nullopt;
    try {
        StoreReply reply { .status = isWrite ? StoreStatus::Conflict : StoreStatus::Done,
            .rows = parseRows(body) };
        const auto expected = expectedRowCount(operation);
        if (expected && *expected != reply.rows.size())
            return std::nullopt;
        return reply;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace lentilbay
