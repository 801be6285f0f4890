// Rows in the platform's store that the daemons share: what has to be known if all of them are restarted at
// once.
//
// The key of a row is its kind and the name of what it describes: "blocked/TRIGGER" for a part of prompts or
// a request that is blocked, "version/SERVICE" for the software version of a service's endpoints. One daemon
// writes each row; the others learn the same from it directly while they run.
#include "EdgeTimes.h"
#include "lentilbay/Edge/EdgeDaemon.h"
#include "lentilbay/Support/Hash.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace lentilbay::edge {
namespace {

namespace ip = asio::ip;

constexpr const char* sharedTable = "shared";
constexpr std::string_view blockedKind = "blocked/";
constexpr std::string_view versionKind = "version/";
/// Rows are needed by daemons that start, and to lift a block.
constexpr Duration sharedRowSpacing = std::chrono::seconds(60);
/// The time over which the daemons read the rows again after the store has come back from an older copy.
constexpr Duration eraReadSpread = std::chrono::seconds(1);
/// The value of a "version" row if there are several.
constexpr std::string_view severalVersions = "several";
constexpr int hexadecimal = 16;

std::string keyOf(uint64_t trigger) { return fmt::format("{:016x}", trigger); }

std::optional<uint64_t> parseHexadecimal(std::string_view text)
{
    uint64_t out = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out, hexadecimal);
    return ec == std::errc() && end == text.data() + text.size() ? std::optional(out) : std::nullopt;
}

/// The organisation, or "*" for all of them, and the number of trials.
std::string encodeBlockedTrigger(const BlockedTrigger& it)
{
    const auto organisation = it.hasSeveralOrganisations ? "*" : keyOf(it.organisation);
    return fmt::format("{},{:x}", organisation, it.trials);
}

std::optional<BlockedTrigger> decodeBlockedTrigger(std::string_view text)
{
    const auto comma = text.find(',');
    if (comma == std::string_view::npos)
        return std::nullopt;
    BlockedTrigger out { .hasSeveralOrganisations = text.starts_with('*') };
    const auto organisation
        = out.hasSeveralOrganisations ? std::optional<uint64_t>(0) : parseHexadecimal(text.substr(0, comma));
    const auto trials = parseHexadecimal(text.substr(comma + 1));
    if (!organisation || !trials)
        return std::nullopt;
    out.organisation = *organisation;
    out.trials = static_cast<uint32_t>(std::min<uint64_t>(*trials, UINT32_MAX));
    return out;
}

/// The name that follows the kind in a key, or std::nullopt for a key of another kind.
std::optional<std::string_view> nameIn(std::string_view key, std::string_view kind)
{
    return key.starts_with(kind) ? std::optional(key.substr(kind.size())) : std::nullopt;
}

std::optional<uint64_t> blockedTriggerIn(std::string_view key)
{
    const auto name = nameIn(key, blockedKind);
    return name ? parseHexadecimal(*name) : std::nullopt;
}

} // namespace

void EdgeDaemon::followSharedRows()
{
    const auto& store = m_state.settings.store;
    m_sharedRowFollower = std::make_unique<StoreFollower>(m_context,
        StoreFollowerOptions { .store = { ip::make_address(store.host), store.port },
            .table = sharedTable,
            .wait = Duration::zero(),
            .spacing = sharedRowSpacing,
            .eraReadSpread = eraReadSpread,
            .replica = { .forgetsLostRows = true },
            .seed = m_incarnation },
        StoreFollower::Callbacks { .changed = [this](const auto& row) { applySharedRow(row); },
            .deleted = [this](const auto& key) { sharedRowDeleted(key); },
            .lost = [this](const auto& key) { sharedRowLost(key); },
            .confirmed = [](TimePoint) {},
            .eraChanged = [this](uint64_t era) { handleStoreEra(era, bootNow()); } });
}

void EdgeDaemon::applySharedRow(const platform::StoreRow& row)
{
    m_sharedRows[row.key] = row.value;
    if (const auto service = nameIn(row.key, versionKind)) {
        if (const auto version = parseHexadecimal(row.value))
            m_state.versions.restore(ServiceId(std::string(*service)), *version);
        return;
    }
    const auto trigger = blockedTriggerIn(row.key);
    const auto blocked = decodeBlockedTrigger(row.value);
    if (trigger && blocked)
        m_state.crashes.restore(*trigger, *blocked, bootNow());
    else
        logEvent(
            Event::StoreCallFailed, { { "table", sharedTable }, { "detail", "invalid row " + row.key } });
}

void EdgeDaemon::sharedRowDeleted(const std::string& key)
{
    if (m_sharedRows.erase(key) == 0)
        return;
    if (const auto trigger = blockedTriggerIn(key))
        m_state.crashes.release(*trigger, bootNow());
}

std::map<std::string, std::string> EdgeDaemon::ownedRows(TimePoint now) const
{
    std::map<std::string, std::string> out;
    for (const auto& [trigger, blocked] : m_state.crashes.ownedBlockedTriggers())
        out.emplace(fmt::format("{}{}", blockedKind, keyOf(trigger)), encodeBlockedTrigger(blocked));
    const auto others = aliveDaemons();
    for (const auto& service : m_state.versions.services()) {
        const auto key = fmt::format("{}{}", versionKind, service.text());
        const auto own = hashOf(m_state.settings.daemon.text(), hashOf(key));
        if (std::ranges::any_of(others, [&](const auto& it) { return hashOf(it, hashOf(key)) < own; }))
            continue;
        const auto known = m_state.versions.knownOf(service, now);
        if (known == VersionHistory::Known::SeveralVersions)
            out.emplace(key, severalVersions);
        else if (known == VersionHistory::Known::OneVersion)
            out.emplace(key, keyOf(*m_state.versions.soleVersion(service, now)));
    }
    return out;
}

void EdgeDaemon::writeSharedRow(const std::string& key, const std::string& value)
{
    const auto& store = m_state.settings.store;
    const auto host = fmt::format("{}:{}", store.host, store.port);
    auto request = value.empty() ? platform::deleteRowRequest(host, sharedTable, key)
                                 : platform::writeRowRequest(host, sharedTable, key, value);
    m_sharedRowWriter.send(std::move(request), [this, key, value, era = m_storeEra](bool acknowledged) {
        // What was acknowledged before the store came back from an older copy may be lost.
        if (acknowledged && era != m_storeEra)
            return;
        if (!acknowledged)
            logEvent(
                Event::StoreCallFailed, { { "table", sharedTable }, { "detail", "write not acknowledged" } });
        else if (value.empty())
            m_sharedRows.erase(key);
        else
            m_sharedRows[key] = value;
    });
}

void EdgeDaemon::storeSharedRows(TimePoint now)
{
    // Rows that exist already need not be written, so they are read first.
    if (m_sharedRowWriter.isBusy() || !m_sharedRowFollower->confirmedAt())
        return;
    for (const auto& [key, value] : ownedRows(now)) {
        const auto it = m_sharedRows.find(key);
        if (it != m_sharedRows.end() && it->second == value)
            continue;
        writeSharedRow(key, value);
        return;
    }
    for (const auto& [key, value] : m_sharedRows) {
        const auto trigger = blockedTriggerIn(key);
        if (!trigger || m_state.crashes.isBlocked(*trigger))
            continue;
        writeSharedRow(std::string(key), {});
        return;
    }
}

} // namespace lentilbay::edge
