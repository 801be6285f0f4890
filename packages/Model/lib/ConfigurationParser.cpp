// Parses a configuration document section by section and then runs the cross-checks.
#include "ConfigurationChecks.h"
#include "lentilbay/Model/ConfigurationText.h"
#include "lentilbay/Support/SectionReader.h"
#include "lentilbay/Support/Units.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fmt/format.h>
#include <set>
#include <tuple>
#include <type_traits>
#include <unordered_map>
#include <utility>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

constexpr Range<Duration> objectiveRange { 1ms, std::chrono::days(7) };
constexpr Range<double> weightRange { 0, 1'000'000 };
constexpr Range<double> positiveRange { 0.001, 1'000'000'000 };
constexpr Range<int64_t> concurrencyRange { 1, 10'000'000 };
constexpr Range<int64_t> slotRange { 1, 100'000 };
constexpr Range<int64_t> kvTokenRange { 0, 1'000'000'000 };
constexpr Range<int64_t> retryRange { 0, 8 };
constexpr Range<int64_t> replicaRange { 0, 100'000 };
constexpr size_t maxKeyHashBytes = 150;

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
        || c == '.';
}

bool isValidName(std::string_view name)
{
    return !name.empty() && name.size() <= maxConfigurationName
        && std::all_of(name.begin(), name.end(), isNameCharacter);
}

void reportInvalidName(SectionReader& reader, const std::string& key, const std::string& name)
{
    if (isValidName(name))
        return;
    reader.report(ResultCode::InvalidName, key,
        fmt::format(
            "'{}' is not a name; allowed: 1 to {} letters, digits and - _ .", name, maxConfigurationName));
}

std::string requiredName(SectionReader& reader, const std::string& key)
{
    auto name = reader.requiredText(key);
    if (!name.empty())
        reportInvalidName(reader, key, name);
    return name;
}

std::vector<std::string> nameList(SectionReader& reader, const std::string& key)
{
    auto names = reader.continuedList(key);
    for (const auto& name : names)
        reportInvalidName(reader, key, name);
    return names;
}

template <class Id> std::vector<Id> identifiers(const std::vector<std::string>& names)
{
    std::vector<Id> out;
    out.reserve(names.size());
    for (const auto& name : names)
        out.emplace_back(name);
    return out;
}

template <class T> void sortUnique(std::vector<T>& values)
{
    std::sort(values.begin(), values.end());
    values.erase(std::unique(values.begin(), values.end()), values.end());
}

Objective readObjective(SectionReader& reader)
{
    Objective out;
    out.goodput = reader.number("goodput", out.goodput, weightRange);
    out.wastedPrefill = reader.number("wasted_prefill", out.wastedPrefill, weightRange);
    return out;
}

Tier readTier(SectionReader& reader, std::string name)
{
    Tier out { .name = TierId(std::move(name)) };
    reader.requiredText("rank");
    out.rank = static_cast<int>(reader.integer("rank", 0, { 0, maxTiers - 1 }));
    out.sheddable = reader.flag("sheddable", out.sheddable);
    out.preemptible = reader.flag("preemptible", out.preemptible);
    out.firstTokenWithin = reader.optionalDuration("first_token_within", objectiveRange);
    out.answerWithin = reader.optionalDuration("answer_within", objectiveRange);
    out.goodputWeight = reader.number("goodput_weight", out.goodputWeight, weightRange);
    return out;
}

bool isKeyHash(std::string_view text)
{
    const auto dollar = text.find('$');
    const bool hasBothParts = dollar != std::string_view::npos && dollar > 0 && dollar + 1 < text.size();
    const bool isPrintable
        = std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~' && c != ';'; });
    return hasBothParts && isPrintable && text.size() <= maxKeyHashBytes;
}

std::vector<OrganisationKey> readKeys(SectionReader& reader)
{
    std::vector<OrganisationKey> out;
    for (auto& label : reader.namesWithPrefix("key")) {
        const auto key = "key." + label;
        reportInvalidName(reader, key, label);
        auto hash = reader.requiredText(key);
        // The value may be a plaintext key entered by mistake, so the message must not contain it.
        if (!hash.empty() && !isKeyHash(hash))
            reader.report(
                ResultCode::WrongType, key, "the value is not a salted hash; allowed: <salt>$<hash>");
        out.push_back({ std::move(label), std::move(hash) });
    }
    sortUnique(out);
    return out;
}

template <class T>
std::optional<T> optionalNumber(SectionReader& reader, const std::string& key, Range<T> range)
{
    if constexpr (std::is_same_v<T, double>) {
        const auto value = reader.number(key, range.least, range);
        return reader.has(key) ? std::optional(value) : std::nullopt;
    } else {
        const auto value = reader.integer(key, range.least, range);
        return reader.has(key) ? std::optional(value) : std::nullopt;
    }
}

Organisation readOrganisation(SectionReader& reader, std::string name)
{
    Organisation out { .name = OrganisationId(std::move(name)) };
    out.keys = readKeys(reader);
    reader.requiredText("tiers");
    out.tiers = identifiers<TierId>(nameList(reader, "tiers"));
    out.limits.requestsPerSecond = optionalNumber<double>(reader, "requests_per_second", positiveRange);
    out.limits.tokensPerSecond = optionalNumber<double>(reader, "tokens_per_second", positiveRange);
    out.limits.concurrency = optionalNumber<int64_t>(reader, "concurrency", concurrencyRange);
    out.weight = reader.number("weight", out.weight, positiveRange);
    return out;
}

Service readService(SectionReader& reader, std::string name)
{
    Service out { .name = ServiceId(std::move(name)) };
    reader.requiredText("kind");
    out.kind = reader.word("kind", "model", { "model", "plain" }) == "model" ? ServiceKind::Model
                                                                             : ServiceKind::Plain;
    out.idempotent = reader.flag("idempotent", out.idempotent);
    out.key = reader.word("key", "required", { "required", "optional" }) == "required"
        ? IdempotencyKeyRule::Required
        : IdempotencyKeyRule::Optional;
    out.deadline = reader.optionalDuration("deadline", objectiveRange);
    out.retries = optionalNumber<int64_t>(reader, "retries", retryRange);
    return out;
}

bool isIpAddress(const std::string& host)
{
    in6_addr buf {};
    return inet_pton(AF_INET, host.c_str(), &buf) == 1 || inet_pton(AF_INET6, host.c_str(), &buf) == 1;
}

void readAddress(SectionReader& reader, Endpoint& endpoint)
{
    const auto text = reader.requiredText("address");
    if (text.empty())
        return;
    const auto colon = text.rfind(':');
    auto host = text.substr(0, colon);
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    const auto port = colon == std::string::npos ? std::nullopt : parseInteger(text.substr(colon + 1));
    const bool isV6 = host.find(':') != std::string::npos;
    if (!port || *port < 1 || *port > UINT16_MAX || !isIpAddress(host) || isV6 != isBracketed) {
        reader.report(ResultCode::WrongType, "address",
            fmt::format("'{}' is not an address; allowed: IP number and port, such as 10.0.0.1:8000", text));
        return;
    }
    endpoint.host = std::move(host);
    endpoint.port = static_cast<uint16_t>(*port);
}

Endpoint readEndpoint(SectionReader& reader, std::string name)
{
    Endpoint out { .name = EndpointId(std::move(name)) };
    readAddress(reader, out);
    out.region = RegionId(requiredName(reader, "region"));
    out.dataCentre = DataCentreId(requiredName(reader, "data_centre"));
    reader.requiredText("services");
    out.services = identifiers<ServiceId>(nameList(reader, "services"));
    sortUnique(out.services);
    out.generation = reader.text("generation", "");
    if (!out.generation.empty())
        reportInvalidName(reader, "generation", out.generation);
    out.slots = static_cast<uint32_t>(reader.integer("slots", out.slots, slotRange));
    out.kvTokens = static_cast<uint64_t>(reader.integer("kv_tokens", 0, kvTokenRange));
    out.checksFencing = reader.flag("checks_fencing", out.checksFencing);
    return out;
}

ModelPlacement readModel(SectionReader& reader, std::string name)
{
    ModelPlacement out { .name = ModelId(std::move(name)) };
    reader.requiredText("versions");
    out.versions = nameList(reader, "versions");
    out.adapters = nameList(reader, "adapters");
    sortUnique(out.adapters);
    for (auto& region : reader.namesWithPrefix("replicas")) {
        const auto key = "replicas." + region;
        reportInvalidName(reader, key, region);
        out.replicas.push_back({ RegionId(std::move(region)), reader.integer(key, 0, replicaRange) });
    }
    sortUnique(out.replicas);
    return out;
}

/// Reads all sections of a document into a configuration.
class Parser {
public:
    Parser(const IniDocument& document, Diagnostics& diagnostics)
        : m_document(document)
        , m_diagnostics(diagnostics)
    {
        for (const auto& entry : document.entries)
            m_entries[entry.section].push_back(&entry);
    }

    Configuration run()
    {
        reportEntriesOutsideSections();
        for (const auto& section : m_document.sections) {
            if (m_readSections.insert(section.name).second)
                readSection(section);
        }
        const auto byName = [](const auto& left, const auto& right) { return left.name < right.name; };
        std::sort(m_out.tiers.begin(), m_out.tiers.end(), [](const Tier& left, const Tier& right) {
            return std::tie(left.rank, left.name) < std::tie(right.rank, right.name);
        });
        std::sort(m_out.organisations.begin(), m_out.organisations.end(), byName);
        std::sort(m_out.services.begin(), m_out.services.end(), byName);
        std::sort(m_out.endpoints.begin(), m_out.endpoints.end(), byName);
        std::sort(m_out.models.begin(), m_out.models.end(), byName);
        return std::move(m_out);
    }

private:
    void reportEntriesOutsideSections()
    {
        for (const auto& entry : m_document.entries) {
            if (entry.section.empty())
                report(entry.line, entry.key, "the key stands before the first section");
        }
    }

    void report(int line, const std::string& key, std::string message)
    {
        m_diagnostics.push_back(
            { ResultCode::UnknownSection, m_document.file, line, key, std::move(message) });
    }

    void readSection(const IniSection& section)
    {
        SectionReader reader(m_document.file, section.name, m_entries[section.name], m_diagnostics);
        const auto space = std::min(section.name.find(' '), section.name.size());
        const auto kind = section.name.substr(0, space);
        const bool isNamed = space < section.name.size();
        auto name = isNamed ? section.name.substr(space + 1) : "";
        if (!readElement(reader, kind, name, isNamed)) {
            report(section.line, section.name,
                "the section is not known; allowed: objective, tier NAME, organisation NAME, service NAME, "
                "endpoint NAME, model NAME");
            return;
        }
        if (isNamed && !isValidName(name)) {
            m_diagnostics.push_back({ ResultCode::InvalidName, m_document.file, section.line, section.name,
                fmt::format("'{}' is not a name; allowed: 1 to {} letters, digits and - _ .", name,
                    maxConfigurationName) });
        }
        reader.reportUnknownKeys();
    }

    bool readElement(SectionReader& reader, const std::string& kind, const std::string& name, bool isNamed)
    {
        if (kind == "objective" && !isNamed) {
            m_out.objective = readObjective(reader);
            return true;
        }
        if (!isNamed)
            return false;
        if (kind == "tier")
            m_out.tiers.push_back(readTier(reader, name));
        else if (kind == "organisation")
            m_out.organisations.push_back(readOrganisation(reader, name));
        else if (kind == "service")
            m_out.services.push_back(readService(reader, name));
        else if (kind == "endpoint")
            m_out.endpoints.push_back(readEndpoint(reader, name));
        else if (kind == "model")
            m_out.models.push_back(readModel(reader, name));
        else
            return false;
        return true;
    }

    const IniDocument& m_document;
    Diagnostics& m_diagnostics;
    std::unordered_map<std::string, std::vector<const IniEntry*>> m_entries;
    std::set<std::string> m_readSections;
    Configuration m_out;
};

} // namespace

Configuration parseConfiguration(std::string_view text, std::string file, Diagnostics& diagnostics)
{
    const auto document = parseIni(text, std::move(file), diagnostics);
    auto configuration = Parser(document, diagnostics).run();
    DiagnosticReporter reporter(document, diagnostics);
    checkConfiguration(configuration, reporter);
    return configuration;
}

} // namespace lentilbay
