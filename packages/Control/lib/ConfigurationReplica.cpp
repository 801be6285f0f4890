// Fetching versions from the table, the object store or another daemon, and putting them in force in order.
#include "ConfigurationReplica.h"

#include "lentilbay/Model/ConfigurationText.h"
#include "lentilbay/Support/Secret.h"

#include <utility>

namespace lentilbay {
namespace {

constexpr size_t maxStepsKept = 64;
constexpr size_t maxStepBytes = 32'768;
/// Versions read from the table at once.
constexpr uint64_t versionsPerRead = 32;
/// A daemon that lacks more versions starts from a snapshot.
constexpr uint64_t snapshotDistance = 64;
constexpr Duration leastPause = std::chrono::milliseconds(250);

} // namespace

ConfigurationReplica::ConfigurationReplica(ConfigurationContext& context)
    : m_context(context)
    , m_inForce { .version = 0, .hash = sha256Hex("") }
    , m_backoff(leastPause, context.options.longestPause)
{
}

bool ConfigurationReplica::learn(const ConfigurationHead& head, TimePoint now)
{
    if (head.version < m_head.version)
        return false;
    if (head.version == m_head.version)
        return head.version == 0 || head.hash == m_head.hash;
    m_head = head;
    if (m_learned.empty()) {
        m_triedSnapshot = false;
        m_backoff.succeeded();
    }
    m_learned.push_back({ .version = head.version, .at = now });
    return true;
}

std::optional<TimePoint> ConfigurationReplica::behindSince() const
{
    return m_learned.empty() ? std::nullopt : std::optional(m_learned.front().at);
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
    while (!m_learned.empty() && m_learned.front().version <= m_inForce.version)
        m_learned.pop_front();
}

void ConfigurationReplica::take(const std::vector<ConfigurationStep>& steps, TimePoint now)
{
    for (const auto& step : steps) {
        if (step.version != m_inForce.version + 1)
            continue;
        auto document = outcomeOf<std::string>([&] { return applyDifference(m_document, step.difference); });
        if (!std::holds_alternative<std::string>(document))
            return;
        const ConfigurationHead reached { .version = step.version, .hash = step.difference.toHash };
        if (!learn(reached, now) && reached.version >= m_head.version)
            return;
        putInForce(reached, std::move(std::get<std::string>(document)));
        if (m_inForce != reached)
            return;
        m_steps.push_back(step);
        if (m_steps.size() > maxStepsKept)
            m_steps.pop_front();
    }
}

void ConfigurationReplica::takeDocument(
    const ConfigurationHead& head, const std::string& document, TimePoint now)
{
    if (head.version <= m_inForce.version || sha256Hex(document) != head.hash)
        return;
    if (!learn(head, now) && head.version >= m_head.version)
        return;
    putInForce(head, document);
    if (m_inForce == head)
        m_steps.clear();
}

void ConfigurationReplica::setPeer(const DaemonId& peer, const std::string& address)
{
    m_peer = peer;
    m_peerAddress = address;
}

std::vector<ConfigurationStep> ConfigurationReplica::stepsAfter(uint64_t version) const
{
    std::vector<ConfigurationStep> out;
    size_t bytes = 0;
    for (const auto& step : m_steps) {
        if (step.version <= version)
            continue;
        bytes += step.difference.changed.size();
        const bool follows = step.version == version + out.size() + 1;
        if (!follows || bytes > maxStepBytes)
            break;
        out.push_back(step);
    }
    return out;
}

void ConfigurationReplica::step(TimePoint now)
{
    if (m_fetching || m_inForce.version >= m_head.version || !m_backoff.isDue(now))
        return;
    const bool isFar = m_inForce.version + snapshotDistance < m_head.version;
    if (isFar && !m_triedSnapshot)
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
        takeRows(reply.rows, at);
    });
}

void ConfigurationReplica::takeRows(const std::vector<std::optional<TableRow>>& rows, TimePoint now)
{
    const auto before = m_inForce.version;
    for (const auto& row : rows) {
        const auto version = parseVersionRow(row);
        if (!version)
            break;
        if (!version->difference)
            return fetchObject(version->head);
        take({ { .version = version->head.version, .difference = *version->difference } }, now);
    }
    if (m_inForce.version > before)
        m_backoff.succeeded();
    else
        fetchFailed(now);
}

void ConfigurationReplica::fetchSnapshot(TimePoint)
{
    m_fetching = true;
    m_triedSnapshot = true;
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
                takeDocument(head, reply.body, at);
            if (m_inForce.version >= head.version)
                m_backoff.succeeded();
            else
                fetchFailed(at);
        });
}

void ConfigurationReplica::fetchFailed(TimePoint now)
{
    m_backoff.failed(now, m_context.random);
    if (m_peer.empty())
        return;
    m_context.blackboard.outbox.push_back({ .to = m_peer,
        .message = DocumentRequest { .newerThan = m_inForce.version },
        .address = m_peerAddress });
}

} // namespace lentilbay
