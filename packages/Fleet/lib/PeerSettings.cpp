// Parses and validates the [peers] section. Secrets are never printed.
#include "lentilbay/Fleet/PeerSettings.h"

#include "lentilbay/Support/SectionReader.h"
#include "lentilbay/Support/Units.h"

#include <asio/ip/address.hpp>
#include <fmt/format.h>
#include <optional>
#include <sodium.h>

namespace lentilbay {
namespace {

constexpr size_t secretBytes = 32;
constexpr size_t maxKeys = 2;
constexpr int64_t maxKeyId = 255;
constexpr int64_t maxPort = 65535;
constexpr uint64_t maxBytesPerSecond = uint64_t { 1 } << 30U;

std::optional<PeerKey> parseKey(const std::string& text)
{
    const auto colon = text.find(':');
    if (colon == std::string::npos)
        return std::nullopt;
    const auto id = parseInteger(text.substr(0, colon));
    if (!id || *id < 0 || *id > maxKeyId)
        return std::nullopt;
    const auto hex = text.substr(colon + 1);
    PeerKey key { .id = static_cast<uint8_t>(*id), .secret = std::string(secretBytes, '\0') };
    size_t size = 0;
    const char* end = nullptr;
    const int failed = sodium_hex2bin(reinterpret_cast<unsigned char*>(key.secret.data()), secretBytes,
        hex.data(), hex.size(), nullptr, &size, &end);
    if (failed != 0 || size != secretBytes || end != hex.data() + hex.size())
        return std::nullopt;
    return key;
}

std::vector<PeerKey> readKeys(SectionReader& reader)
{
    std::vector<PeerKey> keys;
    for (const auto& it : reader.list("keys")) {
        const auto key = parseKey(it);
        if (!key) {
            reader.report(ResultCode::WrongType, "keys",
                "a key is not '<id>:<secret>' with an id of 0 to 255 and a secret of 64 hexadecimal digits");
            continue;
        }
        for (const auto& other : keys) {
            if (other.id == key->id)
                reader.report(ResultCode::OutOfRange, "keys", "two keys have the same id");
        }
        keys.push_back(*key);
    }
    if (keys.empty())
        reader.report(ResultCode::MissingSetting, "keys", "one key is required, two are allowed");
    if (keys.size() > maxKeys)
        reader.report(ResultCode::OutOfRange, "keys", "more than two keys; allowed: 1 to 2");
    return keys;
}

void checkAddress(SectionReader& reader, const std::string& key, const std::string& text)
{
    if (!isPeerAddress(text))
        reader.report(ResultCode::WrongType, key,
            fmt::format("'{}' is not an IP number and a port, such as 10.0.0.1:7000", text));
}

bool hasSection(const IniDocument& document)
{
    for (const auto& it : document.entries) {
        if (it.section == "peers")
            return true;
    }
    return false;
}

} // namespace

bool isPeerAddress(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return false;
    const auto port = parseInteger(text.substr(colon + 1));
    if (!port || *port < 1 || *port > maxPort)
        return false;
    auto host = text.substr(0, colon);
    asio::error_code ec;
    if (host.front() == '[' && host.back() == ']')
        return asio::ip::make_address_v6(host.substr(1, host.size() - 2), ec), !ec;
    return asio::ip::make_address_v4(host, ec), !ec;
}

PeerSettings readPeerSettings(const IniDocument& document, Diagnostics& diagnostics)
{
    PeerSettings settings;
    if (!hasSection(document))
        return settings;
    SectionReader reader(document, "peers", diagnostics);
    settings.address = reader.requiredText("address");
    if (!settings.address.empty())
        checkAddress(reader, "address", settings.address);
    settings.seeds = reader.list("seeds");
    for (const auto& it : settings.seeds)
        checkAddress(reader, "seeds", it);
    settings.cluster = reader.text("cluster", settings.cluster);
    settings.keys = readKeys(reader);
    const Range<uint64_t> allowed { 0, maxBytesPerSecond };
    settings.bytesPerSecond = { reader.size("data_centre_bytes_per_second", 0, allowed),
        reader.size("region_bytes_per_second", 0, allowed),
        reader.size("inter_region_bytes_per_second", 0, allowed) };
    reader.reportUnknownKeys();
    return settings;
}

std::string printPeerSettings(const PeerSettings& settings)
{
    if (settings.address.empty())
        return "";
    auto out = fmt::format("\n[peers]\naddress = {}\nseeds = {}\ncluster = {}\n", settings.address,
        fmt::join(settings.seeds, ", "), settings.cluster);
    const auto& rates = settings.bytesPerSecond;
    out += fmt::format("data_centre_bytes_per_second = {}B\nregion_bytes_per_second = {}B\n"
                       "inter_region_bytes_per_second = {}B\n",
        rates[0], rates[1], rates[2]);
    for (const auto& it : settings.keys)
        out += fmt::format("; key {} is set\n", it.id);
    return out;
}

} // namespace lentilbay
