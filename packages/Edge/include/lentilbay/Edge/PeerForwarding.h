// Forwarding of requests between daemons: a daemon that cannot reach the endpoints sends a request through a
// peer.
//
// The forwarding daemon keeps the request: it has checked the key and the quota, and it alone sends it again
// after a failure. A daemon whose configuration is too old to verify the key leaves key and quota to the
// peer. The peer sends it to endpoints, and answers with what the endpoint answered; it lets one
// endpoint execute the request at most, and never forwards it. Both speak HTTP/1.1 on the TCP port whose
// number is that of the peer's port for heartbeats, with the header fields below beside those of the caller
// and of the endpoint.
#pragma once

#include "lentilbay/Edge/EndpointRegistry.h"
#include "lentilbay/Edge/PeerHeartbeat.h"
#include "lentilbay/Http/Message.h"
#include "lentilbay/Support/ResultCode.h"

namespace lentilbay::edge {

/// What the forwarding daemon states about a request.
struct ForwardedRequest {
    /// The daemon that has received it from a caller.
    std::string daemon;
    /// The service that it has chosen among the targets of the route.
    ServiceId service;
    /// hashOf() the only software version that may answer the request.
    std::optional<uint64_t> version;
    /// The daemon could not verify the key; the peer verifies it and counts the quota.
    bool isUnverified = false;

    bool operator==(const ForwardedRequest&) const = default;
};

/// What the peer states about its answer.
struct ForwardedAnswer {
    /// No endpoint has executed the request, and the peer will not send it to any.
    bool wasNotExecuted = false;
    /// No endpoint has even received it. Not stated by older builds.
    bool wasNotSent = false;
    /// The endpoint that answered; empty if none did.
    std::string endpoint;
    /// hashOf() that endpoint's software version, if it is known.
    std::optional<uint64_t> version;

    bool operator==(const ForwardedAnswer&) const = default;
};

void addForwardingFields(http::Headers& headers, const ForwardedRequest& request);
void addForwardingFields(http::Headers& headers, const ForwardedAnswer& answer);
/// Returns std::nullopt if the request was not forwarded.
std::optional<ForwardedRequest> forwardedRequestOf(const http::Headers& headers);
ForwardedAnswer forwardedAnswerOf(const http::Headers& headers);
/// The body of a refusal. A daemon that forwarded the request reads the reason from it.
std::string refusalBody(ResultCode code);
/// Why a peer that was to verify the key has refused the request: a reason that concerns the key or the
/// quota, or std::nullopt.
std::optional<ResultCode> keyRefusalOf(std::string_view body);
/// Removes the fields that only daemons set.
void removeForwardingFields(http::Headers& headers);

/// The peers that requests can be sent through, each as the state of an endpoint.
class PeerRelays {
public:
    explicit PeerRelays(Topology topology)
        : m_topology(std::move(topology))
    {
    }

    /// Takes over which peers are alive and reach endpoints.
    void update(const PeerTable& peers);
    /// The number of peers that may be used.
    size_t size() const { return m_usable; }
    /// Whether one of them has a recent list of endpoints.
    bool hasRecent() const { return m_hasRecent; }
    /// The peer to send a request through that has not been sent through any of `tried`, or nullptr. One that
    /// may send to an endpoint which has left is chosen only if there is no other.
    /// @param verifiesKeys whether the peer has to verify the key
    std::shared_ptr<EndpointState> choose(
        const std::vector<EndpointId>& tried, Random& random, bool verifiesKeys = false) const;
    /// Whether the peer still runs, as far as this daemon knows.
    bool isAlive(const EndpointId& peer) const;

private:
    struct Relay {
        /// Never nullptr.
        std::shared_ptr<EndpointState> state;
        bool isUsable = false;
        bool isOutdated = false;
        bool verifiesKeys = false;
        /// Whether the latest update() has found it.
        bool isListed = false;
    };

    Topology m_topology;
    std::map<EndpointId, Relay> m_relays;
    size_t m_usable = 0;
    bool m_hasRecent = false;
    /// The fraction of the daemons of this data centre that others of it can forward to. Where it is small,
    /// those few must not get the requests of all.
    double m_nearFraction = 1;
};

} // namespace lentilbay::edge
