// Converts the rows of the configuration from and to JSON.
#include "ConfigurationRows.h"

#include "lentilbay/Support/Units.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lentilbay {
namespace {

using Json = nlohmann::json;

/// Applies a reader to the JSON of a row; returns nothing if a field is missing or has the wrong type.
template <class F>
auto parsed(const std::optional<TableRow>& row, F read) -> std::optional<decltype(read(Json()))>
{
    if (!row)
        return std::nullopt;
    try {
        return read(Json::parse(row->value));
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

ConfigurationHead headOf(const Json& json)
{
    return { json.at("version").get<uint64_t>(), json.at("hash").get<std::string>() };
}

} // namespace

TableKey headKey() { return { configurationTable, "head" }; }
TableKey snapshotKey() { return { configurationTable, "snapshot" }; }
TableKey versionKey(uint64_t version)
{
    return { configurationTable, fmt::format("version/{:012}", version) };
}
TableKey rosterSequenceKey() { return { rosterTable, "sequence" }; }
TableKey rosterMemberKey(const DaemonId& id) { return { rosterTable, "daemon/" + id.text() }; }
TableKey floorKey(const DataCentreId& dataCentre) { return { floorTable, dataCentre.text() }; }
std::string documentObjectKey(const std::string& hash) { return "configuration/" + hash; }

std::string printHead(const ConfigurationHead& head)
{
    return Json { { "version", head.version }, { "hash", head.hash } }.dump();
}

std::string printVersionRow(const VersionRow& row)
{
    Json json { { "version", row.head.version }, { "hash", row.head.hash }, { "change", row.changeId },
        { "operator", row.operatorName }, { "time", row.time } };
    if (row.difference) {
        json["from"] = row.difference->fromHash;
        json["removed"] = row.difference->removed;
        json["changed"] = row.difference->changed;
    }
    return json.dump();
}

std::string printMember(const RosterMember& member)
{
    return Json {
        { "name", member.id.text() }, { "region", member.region.text() },
        { "data_centre", member.dataCentre.text() }, { "address", member.address },
        { "incarnation", member.incarnation }, { "added", member.added }, { "removed", member.removed }
    }.dump();
}

std::string printFloors(const Acknowledgements& acknowledgements)
{
    auto json = Json::object();
    for (const auto& [id, it] : acknowledgements)
        json[id.text()] = Json::array({ it.incarnation, it.floor, it.rosterSequence, it.inferred });
    return json.dump();
}

std::optional<ConfigurationHead> parseHead(const std::optional<TableRow>& row) { return parsed(row, headOf); }

std::optional<VersionRow> parseVersionRow(const std::optional<TableRow>& row)
{
    return parsed(row, [](const Json& json) {
        VersionRow out { .head = headOf(json),
            .changeId = json.at("change").get<std::string>(),
            .operatorName = json.at("operator").get<std::string>(),
            .time = json.at("time").get<std::string>(),
            .difference = std::nullopt };
        if (json.contains("changed")) {
            out.difference = ConfigurationDifference { .fromHash = json.at("from").get<std::string>(),
                .toHash = out.head.hash,
                .removed = json.at("removed").get<std::vector<std::string>>(),
                .changed = json.at("changed").get<std::string>() };
        }
        return out;
    });
}

std::optional<RosterMember> parseMember(const std::optional<TableRow>& row)
{
    return parsed(row, [](const Json& json) {
        return RosterMember { .id = DaemonId(json.at("name").get<std::string>()),
            .region = RegionId(json.at("region").get<std::string>()),
            .dataCentre = DataCentreId(json.at("data_centre").get<std::string>()),
            .address = json.at("address").get<std::string>(),
            .incarnation = json.at("incarnation").get<uint64_t>(),
            .added = json.at("added").get<uint64_t>(),
            .removed = json.at("removed").get<uint64_t>() };
    });
}

std::optional<Acknowledgements> parseFloors(const std::optional<TableRow>& row)
{
    if (!row)
        return Acknowledgements();
    return parsed(row, [](const Json& json) {
        Acknowledgements out;
        for (const auto& [name, it] : json.items()) {
            out.emplace(DaemonId(name),
                Acknowledgement { .incarnation = it.at(0).get<uint64_t>(),
                    .floor = it.at(1).get<uint64_t>(),
                    .rosterSequence = it.at(2).get<uint64_t>(),
                    .inferred = it.at(3).get<bool>() });
        }
        return out;
    });
}

uint64_t parseSequence(const std::optional<TableRow>& row)
{
    return row ? static_cast<uint64_t>(parseInteger(row->value).value_or(0)) : 0;
}

uint64_t rowVersion(const std::optional<TableRow>& row) { return row ? row->version : 0; }

} // namespace lentilbay
