// Fetches versions from the table, the object store or another daemon, and puts them in force in order.
#include "ConfigurationReplica.h"

#include "lentilbay/Model/ConfigurationText.h"
#include "lentilbay/Support/Secret.h"

#include <utility>

namespace lentilbay {
namespace {

constexpr size_t maxRetainedDeltas = 64;
constexpr size_t maxDeltaBytesPerMessage = 32'768;
/// Maximum number of versions in one read of the table.
constexpr uint64_t versionsPerRead = 32;
/// A daemon that is further behind starts from a snapshot.
constexpr uint64_t snapshotDistance = 64;
constexpr Duration minBackoff = std::chrono::milliseconds(250);

} // namespace

ConfigurationReplica::ConfigurationReplica(ConfigurationContext& context)
    : m_context(context)
    , m_inForce { .version = 0, .hash = sha256Hex("") }
    , m_backoff(minBackoff, context.options.maxBackoff)
{
}

bool ConfigurationReplica::noteHead(const ConfigurationHead& head, TimePoint now)
{
    if (head.version < m_head.version)
        return false;
    if (head.version == m_head.version)
        return head.version == 0 || head.hash == m_head.hash;
    m_head = head;
    if (m_pendingVersions.empty()) {
        m_snapshotTried = false;
        m_backoff.recordSuccess();
    }
    m_pendingVersions.push_back({ .version = head.version, .at = now });
    return true;
}

std::optional<TimePoint> ConfigurationReplica::behindSince() const
{
    return m_pendingVersions.empty() ? std::nullopt : std::optional(m_pendingVersions.front().at);
}

void ConfigurationReplica::putInForce(const ConfigurationHead& head, std::string document)
{
    Diagnostics diagnostics;
    auto configuration = parseConfiguration(document, "version " + std::to_string(head.version), diagnostics);
    if (!diagnostics.empty())
        return;
    configuration.version = head.version;
    m_document = std::move(document);
    m_inForce = head;
    applyConfiguration(m_context.blackboard, std::make_shared<const Configuration>(std::move(configuration)));
    while (!m_pendingVersions.empty() && m_pendingVersions.front().version <= m_inForce.version)
        m_pendingVersions.pop_front();
}

void ConfigurationReplica::applyDeltas(const std::vector<ConfigurationDelta>& deltas, TimePoint now)
{
    for (const auto& delta : deltas) {
        if (delta.version != m_inForce.version + 1)
            continue;
        auto document = outcomeOf<std::string>([&] { return applyDifference(m_document, delta.difference); });
        if (!std::holds_alternative<std::string>(document))
            return;
        const ConfigurationHead newHead { .version = delta.version, .hash = delta.difference.toHash };
        if (!noteHead(newHead, now) && newHead.version >= m_head.version)
            return;
        putInForce(newHead, std::move(std::get<std::string>(document)));
        if (m_inForce != newHead)
            return;
        m_deltas.push_back(delta);
        if (m_deltas.size() > maxRetainedDeltas)
            m_deltas.pop_front();
    }
}

void ConfigurationReplica::applyDocument(
    const ConfigurationHead& head, const std::string& document, TimePoint now)
{
    if (head.version <= m_inForce.version || sha256Hex(document) != head.hash)
        return;
    if (!noteHead(head, now) && head.version >= m_head.version)
        return;
    putInForce(head, document);
    if (m_inForce == head)
        m_deltas.clear();
}

void ConfigurationReplica::setFallbackPeer(const DaemonId& peer, const std::string& address)
{
    m_fallbackPeer = peer;
    m_fallbackPeerAddress = address;
}

std::vector<ConfigurationDelta> ConfigurationReplica::deltasAfter(uint64_t version) const
{
    std::vector<ConfigurationDelta> out;
    size_t bytes = 0;
    for (const auto& delta : m_deltas) {
        if (delta.version <= version)
            continue;
        bytes += delta.difference.changed.size();
        const bool isNext = delta.version == version + out.size() + 1;
        if (!isNext || bytes > maxDeltaBytesPerMessage)
            break;
        out.push_back(delta);
    }
    return out;
}

void ConfigurationReplica::step(TimePoint now)
{
    if (m_fetching || m_inForce.version >= m_head.version || !m_backoff.isDue(now))
        return;
    const bool isFarBehind = m_inForce.version + snapshotDistance < m_head.version;
    if (isFarBehind && !m_snapshotTried)
        fetchSnapshot(now);
    else
        fetchVersions(now);
}

void ConfigurationReplica::fetchVersions(TimePoint)
{
    TableRead read;
    const auto last = std::min(m_head.version, m_inForce.version + versionsPerRead);
    for (auto version = m_inForce.version + 1; version <= last; ++version)
        read.keys.push_back(versionKey(version));
    m_fetching = true;
    m_context.store.call(std::move(read), [this](const StoreReply& reply, TimePoint at) {
        m_fetching = false;
        if (reply.status != StoreStatus::Done)
            return fetchFailed(at);
        applyRows(reply.rows, at);
    });
}

void ConfigurationReplica::applyRows(const std::vector<std::optional<TableRow>>& rows, TimePoint now)
{
    const auto before = m_inForce.version;
    for (const auto& row : rows) {
        const auto version = parseVersionRow(row);
        if (!version)
            break;
        if (!version->difference)
            return fetchObject(version->head);
        applyDeltas({ { .version = version->head.version, .difference = *version->difference } }, now);
    }
    if (m_inForce.version > before)
        m_backoff.recordSuccess();
    else
        fetchFailed(now);
}

void ConfigurationReplica::fetchSnapshot(TimePoint)
{
    m_fetching = true;
    m_snapshotTried = true;
    m_context.store.call(
        TableRead { .keys = { snapshotKey() } }, [this](const StoreReply& reply, TimePoint at) {
            m_fetching = false;
            if (reply.status != StoreStatus::Done || reply.rows.empty())
                return fetchFailed(at);
            const auto snapshot = parseHead(reply.rows.front());
            if (snapshot && snapshot->version > m_inForce.version && snapshot->version <= m_head.version)
                fetchObject(*snapshot);
        });
}

void ConfigurationReplica::fetchObject(const ConfigurationHead& head)
{
    m_fetching = true;
    m_context.store.call(ObjectGet { .key = documentObjectKey(head.hash) },
        [this, head](const StoreReply& reply, TimePoint at) {
            m_fetching = false;
            if (reply.status == StoreStatus::Done)
                applyDocument(head, reply.body, at);
            if (m_inForce.version >= head.version)
                m_backoff.recordSuccess();
            else
                fetchFailed(at);
        });
}

void ConfigurationReplica::fetchFailed(TimePoint now)
{
    m_backoff.recordFailure(now, m_context.random);
    if (m_fallbackPeer.empty())
        return;
    m_context.blackboard.outbox.push_back({ .to = m_fallbackPeer,
        .message = DocumentRequest { .newerThan = m_inForce.version },
        .address = m_fallbackPeerAddress });
}

} // namespace lentilbay
