// The configuration in force: from the platform's store, or from a peer that has a newer one.
#include "lentilbay/Edge/EdgeDaemon.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"
#include "lentilbay/platform/Documents.h"

#include <fmt/format.h>

namespace lentilbay::edge {
namespace {

/// The path at which a daemon serves its configuration to peers.
constexpr const char* configurationPath = "/configuration";
/// From the start of a call to the store to its answer, if the daemon does nothing else.
constexpr Duration storeReadTime = std::chrono::milliseconds(200);

} // namespace

void EdgeDaemon::applyConfigurationRow(const platform::StoreRow& row)
{
    if (row.key == platform::configurationKey)
        applyConfiguration(row.value, fmt::format("store version {}", row.version.number));
    else
        applyOrderRow(row);
}

void EdgeDaemon::applyConfiguration(const std::string& document, const std::string& source)
{
    auto decoded = outcomeOf<RouteTable>([&] { return platform::decodeConfiguration(document); });
    const auto* failure = std::get_if<Failure>(&decoded);
    m_isConfigurationInvalid = failure != nullptr;
    if (failure) {
        logEvent(Event::ConfigurationInvalid,
            { { "code", printed(failure->code) }, { "detail", failure->detail }, { "source", source } });
        return;
    }
    auto& table = std::get<RouteTable>(decoded);
    if (m_state.routes && table.version() < m_state.routes->version()) {
        logEvent(Event::ConfigurationOutdated,
            { { "version", static_cast<int64_t>(table.version()) },
                { "in_force", static_cast<int64_t>(m_state.routes->version()) }, { "source", source } });
        return;
    }
    if (m_state.routes && table.version() == m_state.routes->version() && document == m_configuration)
        return;
    m_configuration = document;
    m_state.routes = std::make_shared<const RouteTable>(std::move(table));
    logEvent(Event::ConfigurationInForce,
        { { "version", static_cast<int64_t>(m_state.routes->version()) },
            { "routes", static_cast<int64_t>(m_state.routes->routes().size()) }, { "source", source } });
}

void EdgeDaemon::catchUpWithPeers(TimePoint now)
{
    // The store is read first, so that a peer is asked only for what the store lacks.
    if (!m_configurationFollower->coveredVersion())
        return;
    const auto version = m_state.routes ? m_state.routes->version() : 0;
    const bool isReading
        = m_configurationFollower->isReceiving(now) || m_configurationDocument.isReceiving(now);
    // The store has more bandwidth than any peer.
    const bool readsStoreSoon = m_state.isConfigurationSettled
        && !m_configurationFollower->isStoreUnreachable()
        && m_catchUp.behindFor(version, now) < passiveSpacing() + storeReadTime;
    if (const auto daemon = m_catchUp.nextSource(version, isReading || readsStoreSoon, now))
        readConfigurationFrom(*daemon, now);
    m_state.isConfigurationSettled = m_catchUp.isSettled(version, now);
    updateOutdated(version, now);
}

void EdgeDaemon::updateOutdated(uint64_t version, TimePoint now)
{
    const bool isArriving = m_configurationFollower->isReceiving(now);
    // A newer version that cannot be decoded is not waited for.
    const bool isOutdated = !m_isConfigurationInvalid
        && m_catchUp.isOutdated(version, m_state.routesAge(now).value_or(Duration::zero()), isArriving,
            m_state.settings.bounds.configurationAge, now);
    if (std::exchange(m_state.isConfigurationOutdated, isOutdated) == isOutdated)
        return;
    logEvent(isOutdated ? Event::DaemonFenced : Event::DaemonUnfenced,
        { { "version", static_cast<int64_t>(version) },
            { "known", static_cast<int64_t>(m_catchUp.newestKnown()) },
            { "reading", static_cast<int64_t>(isArriving) } });
}

void EdgeDaemon::readConfigurationFrom(const std::string& daemon, TimePoint now)
{
    const auto peer = m_state.peers.peers().find(daemon);
    if (peer == m_state.peers.peers().end())
        return;
    m_state.metrics.count("configuration_calls_to_peers");
    m_configurationDocument.read(
        daemon, peer->second, configurationPath, now, [this, daemon](const std::string& document) {
            applyConfiguration(document, daemon);
            catchUpWithPeers(bootNow());
        });
}

void EdgeDaemon::serveConfiguration(http::Exchange& exchange)
{
    if (exchange.request().path() == configurationPath && m_state.routes)
        serveDocument(exchange, m_configuration);
    else
        exchange.respond(404, http::reasonPhrase(404), {}, "");
}

void EdgeDaemon::serveDocument(http::Exchange& exchange, const std::string& document)
{
    const bool isAdmitted = m_transferBudget.admit(document.size(), bootNow());
    logEvent(Event::PeerDocumentServed,
        { { "target", exchange.request().target }, { "bytes", static_cast<int64_t>(document.size()) },
            { "admitted", static_cast<int64_t>(isAdmitted) } });
    if (!isAdmitted) {
        m_state.metrics.count("peer_documents_refused");
        exchange.respond(503, http::reasonPhrase(503), {}, "");
        return;
    }
    m_state.metrics.count("peer_document_bytes_sent", document.size());
    exchange.respond(200, http::reasonPhrase(200), {}, document);
}

} // namespace lentilbay::edge
