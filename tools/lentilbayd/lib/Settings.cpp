// Parses each section with a function of its own, which reports every error and continues.
#include "Settings.h"

#include "lentilbay/Support/SectionReader.h"
#include "lentilbay/Support/Units.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <string_view>

namespace lentilbay {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Range<uint64_t> bodyRange { 1 << 10U, 1 << 30U };
constexpr Range<Duration> timeoutRange { milliseconds { 10 }, hours { 1 } };
constexpr int64_t maxPort = 65'535;

const std::array<std::string_view, 10> knownSections { "daemon", "callers", "endpoints", "answers", "admin",
    "log", "configuration", "peers", "platform", "claims" };

/// Reads a name whose characters are valid in identifiers, paths and headers.
std::string readName(SectionReader& reader, const std::string& key)
{
    auto name = reader.requiredText(key);
    const auto allowed
        = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; };
    if (!std::all_of(name.begin(), name.end(), allowed))
        reader.report(ResultCode::WrongType, key, "allowed: letters, digits, '-', '_' and '.'");
    return name;
}

uint16_t readPort(SectionReader& reader, uint16_t fallback)
{
    return static_cast<uint16_t>(reader.integer("port", fallback, { 0, maxPort }));
}

void readDaemon(const IniDocument& document, Diagnostics& diagnostics, DaemonSettings& out)
{
    SectionReader reader(document, "daemon", diagnostics);
    out.name = readName(reader, "name");
    out.region = readName(reader, "region");
    out.dataCentre = readName(reader, "data_centre");
    out.maxWaiting = static_cast<uint32_t>(reader.integer("max_waiting", out.maxWaiting, { 1, 1'000'000 }));
    out.leavingNotice = reader.duration("leaving_notice", out.leavingNotice, { Duration {}, minutes { 5 } });
    reader.reportUnknownKeys();
}

void readCallers(const IniDocument& document, Diagnostics& diagnostics, Settings& out)
{
    SectionReader reader(document, "callers", diagnostics);
    auto& server = out.callers;
    server.address = reader.text("address", server.address);
    server.port = readPort(reader, server.port);
    server.maxConnections = static_cast<size_t>(
        reader.integer("max_connections", static_cast<int64_t>(server.maxConnections), { 1, 1'000'000 }));
    server.maxBodyBytes = reader.size("max_body", server.maxBodyBytes, bodyRange);
    server.maxFieldBytes = reader.size("max_field", server.maxFieldBytes, { 256, 1 << 20U });
    server.maxFields = static_cast<size_t>(
        reader.integer("max_fields", static_cast<int64_t>(server.maxFields), { 8, 10'000 }));
    server.idleTimeout = reader.duration("idle_timeout", server.idleTimeout, { seconds { 1 }, hours { 24 } });
    auto& dispatcher = out.gateway.dispatcher;
    dispatcher.maxBacklogBytes
        = reader.size("max_backlog", dispatcher.maxBacklogBytes, { 1 << 10U, 1 << 30U });
    out.gateway.limits = { .maxBodyBytes = server.maxBodyBytes,
        .maxFieldBytes = server.maxFieldBytes,
        .maxFields = server.maxFields };
    reader.reportUnknownKeys();
}

void readEndpoints(const IniDocument& document, Diagnostics& diagnostics, Settings& out)
{
    SectionReader reader(document, "endpoints", diagnostics);
    auto& client = out.endpoints;
    client.connectTimeout = reader.duration("connect_timeout", client.connectTimeout, timeoutRange);
    client.maxConnectionsPerHost = static_cast<uint32_t>(
        reader.integer("max_connections", client.maxConnectionsPerHost, { 1, 100'000 }));
    client.maxIdleAge = reader.duration("max_idle_age", client.maxIdleAge, { seconds { 1 }, hours { 1 } });
    auto& dispatcher = out.gateway.dispatcher;
    dispatcher.maxAnswerBytes = reader.size("max_answer", dispatcher.maxAnswerBytes, bodyRange);
    dispatcher.maxResumes = static_cast<int>(reader.integer("max_resumes", dispatcher.maxResumes, { 0, 20 }));
    dispatcher.cancelTimeout = reader.duration("cancel_timeout", dispatcher.cancelTimeout, timeoutRange);
    reader.reportUnknownKeys();
}

void readAnswers(const IniDocument& document, Diagnostics& diagnostics, AnswerStoreOptions& out)
{
    SectionReader reader(document, "answers", diagnostics);
    out.retentionPeriod = reader.duration("keep_for", out.retentionPeriod, { seconds { 1 }, hours { 24 } });
    out.maxAnswerBytes = reader.size("max_bytes", out.maxAnswerBytes, { 0, 4ULL << 30U });
    out.maxRequests = static_cast<size_t>(
        reader.integer("max_requests", static_cast<int64_t>(out.maxRequests), { 1, 10'000'000 }));
    reader.reportUnknownKeys();
}

void readAdmin(const IniDocument& document, Diagnostics& diagnostics, AdminOptions& out)
{
    SectionReader reader(document, "admin", diagnostics);
    out.server.address = reader.text("address", out.server.address);
    out.server.port = readPort(reader, out.server.port);
    out.tokenHash = reader.text("token_hash", out.tokenHash);
    reader.reportUnknownKeys();
}

void readLog(const IniDocument& document, Diagnostics& diagnostics, LogOptions& out)
{
    SectionReader reader(document, "log", diagnostics);
    out.format = reader.word("format", "text", { "text", "json" }) == "json" ? LogFormat::JsonLines
                                                                             : LogFormat::Text;
    out.level = reader.word("level", out.level, { "trace", "debug", "info", "warn", "error", "off" });
    reader.reportUnknownKeys();
}

void readConfiguration(const IniDocument& document, Diagnostics& diagnostics, std::string& file)
{
    SectionReader reader(document, "configuration", diagnostics);
    file = reader.text("file", "");
    reader.reportUnknownKeys();
}

void readPlatform(const IniDocument& document, Diagnostics& diagnostics, Settings& out)
{
    SectionReader reader(document, "platform", diagnostics);
    const auto readUrl = [&](const std::string& key) {
        auto url = reader.text(key, "");
        while (url.ends_with('/'))
            url.pop_back();
        if (!url.empty() && !url.starts_with("http://") && !url.starts_with("https://"))
            reader.report(ResultCode::WrongType, key, "allowed: http://ADDRESS:PORT or https://ADDRESS:PORT");
        return url;
    };
    out.platform.table = readUrl("table");
    out.platform.objects = readUrl("objects");
    if (out.platform.table.empty() != out.platform.objects.empty())
        reader.report(ResultCode::MissingSetting, out.platform.table.empty() ? "table" : "objects",
            "table and objects are set together");
    if (!out.platform.table.empty() && !out.configurationFile.empty())
        reader.report(
            ResultCode::OutOfRange, "table", "[configuration] file is allowed only without the platform");
    reader.reportUnknownKeys();
}

void reportUnknownSections(const IniDocument& document, Diagnostics& diagnostics)
{
    for (const auto& section : sectionsOf(document)) {
        if (std::find(knownSections.begin(), knownSections.end(), section) != knownSections.end())
            continue;
        const auto first = std::find_if(document.entries.begin(), document.entries.end(),
            [&](const IniEntry& it) { return it.section == section; });
        diagnostics.push_back({ .code = ResultCode::UnknownSection,
            .file = document.file,
            .line = first->line,
            .key = section,
            .message
            = fmt::format("the section is not known; allowed: {}", fmt::join(knownSections, ", ")) });
    }
}

} // namespace

Settings parseSettings(const IniDocument& document, Diagnostics& diagnostics)
{
    Settings out;
    readDaemon(document, diagnostics, out.daemon);
    readCallers(document, diagnostics, out);
    readEndpoints(document, diagnostics, out);
    readAnswers(document, diagnostics, out.gateway.answers);
    readAdmin(document, diagnostics, out.admin);
    readLog(document, diagnostics, out.log);
    readConfiguration(document, diagnostics, out.configurationFile);
    readPlatform(document, diagnostics, out);
    reportUnknownSections(document, diagnostics);
    return out;
}

std::string printSettings(const Settings& settings)
{
    const auto& [daemon, callers, gateway, endpoints, admin, log, file, platform] = settings;
    auto out = fmt::format(
        "[daemon]\nname = {}\nregion = {}\ndata_centre = {}\nmax_waiting = {}\nleaving_notice = {}\n",
        daemon.name, daemon.region, daemon.dataCentre, daemon.maxWaiting,
        printDuration(daemon.leavingNotice));
    out += fmt::format(
        "\n[callers]\naddress = {}\nport = {}\nmax_connections = {}\nmax_body = {}B\nmax_field = {}B\n"
        "max_fields = {}\nidle_timeout = {}\nmax_backlog = {}B\n",
        callers.address, callers.port, callers.maxConnections, callers.maxBodyBytes, callers.maxFieldBytes,
        callers.maxFields, printDuration(callers.idleTimeout), gateway.dispatcher.maxBacklogBytes);
    out += fmt::format("\n[endpoints]\nconnect_timeout = {}\nmax_connections = {}\nmax_idle_age = {}\n"
                       "max_answer = {}B\nmax_resumes = {}\ncancel_timeout = {}\n",
        printDuration(endpoints.connectTimeout), endpoints.maxConnectionsPerHost,
        printDuration(endpoints.maxIdleAge), gateway.dispatcher.maxAnswerBytes, gateway.dispatcher.maxResumes,
        printDuration(gateway.dispatcher.cancelTimeout));
    out += fmt::format("\n[answers]\nkeep_for = {}\nmax_bytes = {}B\nmax_requests = {}\n",
        printDuration(gateway.answers.retentionPeriod), gateway.answers.maxAnswerBytes,
        gateway.answers.maxRequests);
    out += fmt::format("\n[admin]\naddress = {}\nport = {}\n", admin.server.address, admin.server.port);
    if (!admin.tokenHash.empty())
        out += fmt::format("token_hash = {}\n", admin.tokenHash);
    out += fmt::format(
        "\n[log]\nformat = {}\nlevel = {}\n", log.format == LogFormat::Text ? "text" : "json", log.level);
    if (!file.empty())
        out += fmt::format("\n[configuration]\nfile = {}\n", file);
    if (!platform.table.empty())
        out += fmt::format("\n[platform]\ntable = {}\nobjects = {}\n", platform.table, platform.objects);
    return out;
}

} // namespace lentilbay
