// The configuration in force: from the platform's store, or from a peer that has a newer one.
#include "EdgeTimes.h"
#include "lentilbay/Edge/EdgeDaemon.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"
#include "lentilbay/platform/Documents.h"

#include <fmt/format.h>

namespace lentilbay::edge {
namespace {

/// The path at which a daemon serves its configuration to peers.
constexpr std::string_view configurationPath = "/configuration";
/// From the start of a call to the store to its answer, if the daemon does nothing else.
constexpr Duration storeReadTime = std::chrono::milliseconds(200);

} // namespace

void EdgeDaemon::applyConfigurationRow(const platform::StoreRow& row)
{
    if (row.key != platform::configurationKey) {
        applyOrderRow(row);
        return;
    }
    applyConfiguration(
        row.value, fmt::format("store version {}", row.version.number), [&](const auto& document) {
            return m_activeConfiguration.applyRow(document,
                { row.version, m_configurationViews.isSuperseded(row.version),
                    m_configurationFollower->isReportingSnapshot() });
        });
}

bool EdgeDaemon::applyConfiguration(
    const std::string& text, const std::string& source, const ApplyDocument& apply)
{
    using Outcome = ActiveConfiguration::Outcome;
    // The text was decoded when it came into force.
    if (m_state.routes && text == m_activeConfiguration.text()) {
        const auto outcome = apply({ text, m_state.routes->version() });
        return outcome != Outcome::Invalid && outcome != Outcome::Kept;
    }
    const auto begin = bootNow();
    auto decoded = outcomeOf<platform::DecodedConfiguration>(
        [&] { return platform::decodeNextConfiguration(text, m_state.routes.get(), m_routeTexts); });
    const auto decodeTime = bootNow() - begin;
    const auto* failure = std::get_if<Failure>(&decoded);
    auto* configuration = std::get_if<platform::DecodedConfiguration>(&decoded);
    auto* table = configuration ? &configuration->table : nullptr;
    const auto outcome = apply({ text, table ? std::optional(table->version()) : std::nullopt });
    if (failure) {
        logEvent(Event::ConfigurationInvalid,
            { { "code", printed(failure->code) }, { "detail", failure->detail }, { "source", source } });
    } else if (outcome == Outcome::Older || outcome == Outcome::Kept) {
        logEvent(Event::ConfigurationOutdated,
            { { "version", static_cast<int64_t>(table->version()) },
                { "in_force", static_cast<int64_t>(m_state.routes->version()) }, { "source", source } });
    } else if (outcome == Outcome::InForce) {
        m_state.routes = std::make_shared<const RouteTable>(std::move(*table));
        m_routeTexts = std::move(configuration->routeTexts);
        m_state.dropWithdrawnReservations();
        logEvent(Event::ConfigurationInForce,
            { { "version", static_cast<int64_t>(m_state.routes->version()) },
                { "routes", static_cast<int64_t>(m_state.routes->routes().size()) },
                { "idle_timeout_ms", millisecondsOf(m_state.routes->limits().idleTimeout) },
                { "decode_ms", millisecondsOf(decodeTime) }, { "source", source } });
    }
    return outcome != Outcome::Invalid && outcome != Outcome::Kept;
}

void EdgeDaemon::confirmConfiguration(TimePoint at)
{
    if (m_state.routes && m_activeConfiguration.mayConfirm(at, m_catchUp.newestKnown(bootNow())))
        m_state.routesConfirmedAt = std::max(at, m_state.routesConfirmedAt.value_or(at));
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
    const bool isOutdated = !m_activeConfiguration.isNewestInvalid()
        && m_catchUp.isOutdated(version, m_state.routesAge(now).value_or(Duration::zero()), isArriving,
            m_state.settings.bounds.configurationAge, now);
    if (std::exchange(m_state.isConfigurationOutdated, isOutdated) == isOutdated)
        return;
    logEvent(isOutdated ? Event::DaemonFenced : Event::DaemonUnfenced,
        { { "version", static_cast<int64_t>(version) },
            { "known", static_cast<int64_t>(m_catchUp.newestKnown(now)) },
            { "reading", static_cast<int64_t>(isArriving) } });
}

void EdgeDaemon::readConfigurationFrom(const std::string& daemon, TimePoint now)
{
    const auto peer = m_state.peers.peers().find(daemon);
    if (peer == m_state.peers.peers().end())
        return;
    m_state.metrics.count("configuration_calls_to_peers");
    const auto ownHash = m_activeConfiguration.hash();
    m_configurationDocument.read(daemon, peer->second, configurationTarget(ownHash), now,
        [this, daemon, ownHash, askedAt = now](const std::string& document, const http::Headers& headers) {
            applyPeerConfiguration(daemon, document, configurationViewOf(headers), { askedAt, ownHash });
            catchUpWithPeers(bootNow());
        });
}

void EdgeDaemon::applyPeerConfiguration(const std::string& daemon, const std::string& document,
    const std::optional<ConfigurationView>& stated, const ConfigurationCall& call)
{
    if (stated)
        handleStoreEra(stated->covered.era, bootNow());
    const auto view = stated && stated->covered.era == m_storeEra ? stated : std::nullopt;
    const auto own = std::max(m_configurationFollower->coveredVersion(), m_configurationViews.covered());
    // The peer sends no document if it has the one that this daemon had when it called.
    const bool isContained = document.empty()
        ? m_activeConfiguration.applySameDocument(call.ownHash, view, own)
            == ActiveConfiguration::Outcome::Same
        : applyConfiguration(document, daemon,
            [&](const auto& it) { return m_activeConfiguration.applyPeerDocument(it, view, own); });
    // While a peer is known to have a newer version, another peer's view confirms nothing: after the store
    // has come back from an older copy, it may lack that version.
    if (!isContained || !view || !m_state.routes
        || m_state.routes->version() < m_catchUp.newestKnown(bootNow()))
        return;
    const auto formerAge = millisecondsOf(call.askedAt - m_state.routesConfirmedAt.value_or(m_startedAt));
    m_configurationViews.recordAnswer(*view, call.askedAt);
    confirmConfiguration(m_configurationViews.confirmedAt());
    m_state.metrics.count("configuration_views_read_from_peers");
    logEvent(Event::ConfigurationViewRead,
        { { "peer", daemon }, { "version", static_cast<int64_t>(m_state.routes->version()) },
            { "store_version", static_cast<int64_t>(view->covered.number) },
            { "bytes", static_cast<int64_t>(document.size()) }, { "peer_age_ms", millisecondsOf(view->age) },
            { "former_age_ms", formerAge } });
}

void EdgeDaemon::catchUpConfigurationView(TimePoint now)
{
    if (!m_state.routes || m_configurationFollower->isReceiving(now)
        || m_configurationDocument.isReceiving(now))
        return;
    const ConfigurationViews::Own own { .version = m_state.routes->version(),
        .age = m_state.routesAge(now).value_or(now - m_startedAt),
        .isStoreUnreachable = m_configurationFollower->isStoreUnreachable(),
        .nearAge = now - m_configurationFollower->peerContactAt() };
    if (const auto daemon = m_configurationViews.nextSource(m_state.peers.peers(), own, now))
        readConfigurationFrom(*daemon, now);
}

TableView EdgeDaemon::configurationView(TimePoint now) const
{
    const auto followed = viewOf(*m_configurationFollower, now);
    const auto& read = m_configurationViews;
    const auto age = now - read.confirmedAt();
    // A view that was read from a peer says as much about the store as this daemon's own.
    if (!read.covered() || read.covered()->era != m_storeEra
        || (followed.ageMicroseconds >= 0 && followed.ageMicroseconds <= age.count()))
        return followed;
    return { .coveredVersion = read.covered()->number,
        .changedVersion = read.changed().number,
        .ageMicroseconds = age.count() };
}

void EdgeDaemon::serveConfiguration(http::Exchange& exchange)
{
    if (exchange.request().path() != configurationPath || !m_state.routes) {
        exchange.respond(404, http::reasonPhrase(404), {}, "");
        return;
    }
    http::Headers headers;
    // Where the newest row is not in force, the view of the table says nothing of the document.
    const auto view = configurationViewOf(configurationView(bootNow()), m_storeEra);
    if (view && m_activeConfiguration.containsRow())
        addConfigurationView(headers, *view);
    if (ownHashOf(exchange.request().target) != m_activeConfiguration.hash()) {
        serveDocument(exchange, m_activeConfiguration.text(), headers);
        return;
    }
    m_state.metrics.count("configuration_views_served");
    exchange.respond(200, http::reasonPhrase(200), headers, "");
}

void EdgeDaemon::serveDocument(
    http::Exchange& exchange, const std::string& document, const http::Headers& headers)
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
    exchange.respond(200, http::reasonPhrase(200), headers, document);
}

} // namespace lentilbay::edge
