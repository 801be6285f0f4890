// The links to the endpoints, and the requests that are sent through peers while they are lost.
#include "EdgeTimes.h"
#include "lentilbay/Edge/EdgeDaemon.h"
#include "lentilbay/Edge/EdgeRequest.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"

namespace lentilbay::edge {
namespace {

namespace ip = asio::ip;

/// An endpoint with requests in flight that sends nothing for this long may be lost with its link.
constexpr Duration maxSilence = std::chrono::milliseconds(400);
/// Losses up to this long before the links are known to be lost belong to their loss.
constexpr Duration lossDetectionTime = std::chrono::seconds(2);
/// Header bytes that forwarding adds to a request.
constexpr size_t forwardingHeaderBytes = 4096;
/// Daemons keep idle connections to each other for a shorter time, which no limit of the callers changes.
constexpr Duration peerIdleTimeout = std::chrono::seconds(30);

std::string_view printed(LinkState state)
{
    switch (state) {
    case LinkState::Up:
        return "up";
    case LinkState::NoNewConnections:
        return "no_new_connections";
    case LinkState::Partitioned:
        return "partitioned";
    case LinkState::NoneReachable:
        break;
    }
    return "none_reachable";
}

} // namespace

http::ServerLimits EdgeDaemon::callerLimits() const
{
    const auto limits = m_state.routes ? m_state.routes->limits() : CallerLimits {};
    // Until a new configuration is in force everywhere, callers may go by it or by the one that this daemon
    // has. A connection that is closed sooner is closed while a caller sends its next request on it.
    return { .parser = { .headerBytes = limits.headerBytes, .bodyBytes = limits.bodyBytes },
        .headerTimeout = limits.headerTimeout,
        .idleTimeout = limits.idleTimeout + m_state.settings.bounds.configurationAge };
}

void EdgeDaemon::servePeers()
{
    const auto& own = m_state.settings;
    m_peerServer = std::make_unique<http::HttpServer>(m_context,
        http::HttpServerOptions { .address = { ip::make_address(own.ownHost), own.firstPeerPort },
            .limits =
                [this] {
                    auto limits = callerLimits();
                    limits.parser.headerBytes += forwardingHeaderBytes;
                    limits.idleTimeout = peerIdleTimeout;
                    return limits;
                },
            .maxInputAge = [this](TimePoint now) { return m_loopWatch.maxInputAge(now); },
            .handler =
                [this](std::shared_ptr<http::Exchange> exchange) {
                    auto forwarded = forwardedRequestOf(exchange->request().headers);
                    if (forwarded)
                        std::make_shared<EdgeRequest>(m_state, std::move(exchange), std::move(forwarded))
                            ->admit(bootNow());
                    else if (const auto query = endpointListQueryOf(exchange->request().target))
                        serveEndpoints(*exchange, *query);
                    else
                        serveConfiguration(*exchange);
                },
            .malformed = {},
            .repeated = [this](const auto& request, int status) { recordSecondResponse(request, status); },
            .closed = [this](const auto& end) { recordConnectionEnd(end, "daemon"); },
            .requestMemory = m_state.requestMemory,
            .responseMemory = m_state.answerMemory,
            .whenIdle = [this](auto task) { m_loop.whenIdle(std::move(task), bootNow() + maxCloseDelay); } });
}

void EdgeDaemon::observeLinks(TimePoint now)
{
    const auto revision = m_state.endpointRegistry.revision();
    if (std::exchange(m_linksRevision, revision) != revision) {
        std::vector<uint64_t> endpoints;
        for (const auto& [id, it] : m_state.endpointRegistry.all()) {
            if (!it->entry().isDraining)
                endpoints.push_back(it->hash());
        }
        m_state.links.setEndpoints(endpoints);
    }
    for (const auto& [id, it] : m_state.endpointRegistry.all()) {
        if (it->silence(now) >= maxSilence)
            m_state.links.recordSilent(it->hash(), now);
    }
    m_state.relays.update(m_state.peers);
    m_state.links.setPeers(m_state.relays.size());
}

void EdgeDaemon::updateLinks(TimePoint now)
{
    const auto state = m_state.links.update(now);
    for (const auto hash : m_state.links.nextProbes(now)) {
        if (const auto endpoint = m_state.endpointRegistry.findByHash(hash)) {
            m_state.metrics.count("link_probes");
            m_state.pools.probe(endpoint->entry());
        }
    }
    const auto former = std::exchange(m_linkState, state);
    if (state != former) {
        const auto evidence = m_state.links.evidence(now);
        logEvent(Event::LinksChanged,
            { { "from", std::string(printed(former)) }, { "to", std::string(printed(state)) },
                { "endpoints", static_cast<int64_t>(evidence.endpoints) },
                { "lost", static_cast<int64_t>(evidence.lost) },
                { "unconnectable", static_cast<int64_t>(evidence.unconnectable) },
                { "heard", static_cast<int64_t>(evidence.heard) },
                { "peers", static_cast<int64_t>(evidence.peers) } });
        m_state.metrics.count("link_state_changes");
        // What was lost with the links says nothing about the endpoints and the requests.
        m_state.crashes.dropBreaksSince(now - lossDetectionTime);
        m_state.endpointRegistry.forgetFailuresSince(now - lossDetectionTime);
        m_state.endpointRegistry.failureReports().forgetFailuresSince(now - lossDetectionTime);
        // The other daemons forward to this one, or stop doing so.
        m_nextHeartbeatAt.clear();
    }
    if (state != LinkState::Partitioned && state != LinkState::NoneReachable)
        return;
    if (state != former)
        m_state.pools.closeIdle(
            [this](const EndpointId& id) { return m_state.endpointRegistry.find(id) != nullptr; });
    m_state.queueAllAgain(now);
}

} // namespace lentilbay::edge
