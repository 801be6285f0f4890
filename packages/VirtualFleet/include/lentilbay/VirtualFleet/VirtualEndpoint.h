// An endpoint in virtual time: one interface to a fake model engine or a fake application endpoint.
#pragma once

#include "lentilbay/Control/Blackboard.h"
#include "lentilbay/Fakes/EngineModel.h"
#include "lentilbay/Fakes/ServiceModel.h"
#include "lentilbay/Invariants/Records.h"
#include "lentilbay/Model/Configuration.h"
#include "lentilbay/Model/Request.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lentilbay {

/// A request as it is sent to an endpoint.
struct VirtualDispatch {
    RequestId id;
    ServiceId service;
    std::string key;
    uint64_t contentDigest = 0;
    uint32_t promptTokens = 0;
    uint32_t answerTokens = 1;
    std::vector<uint64_t> prefixHashes;
};

/// An event that an endpoint reports to the daemon that dispatched the request.
struct VirtualOutput {
    enum class Kind : uint8_t { Token, Complete, Broken };

    RequestId id;
    Kind kind = Kind::Token;
    uint32_t cachedTokens = 0;
};

class VirtualEndpoint {
public:
    explicit VirtualEndpoint(Endpoint endpoint, bool isPlain);

    const Endpoint& endpoint() const { return m_endpoint; }
    /// Whether the endpoint accepts connections.
    bool acceptsConnections() const { return m_isUp; }
    /// Starts the request. Returns false, without executing any of it, if the endpoint refuses it or is down.
    bool submit(const VirtualDispatch& dispatch, TimePoint now);
    void cancel(const RequestId& id, TimePoint now);
    std::vector<VirtualOutput> advance(TimePoint now);
    std::optional<TimePoint> nextWake() const;
    LoadReport load(TimePoint now) const;
    bool isLeaving() const;

    /// Kills the process with all its work. Returns a Broken output for each request that was running.
    std::vector<VirtualOutput> kill(TimePoint now);
    void restart();
    void setLeaving(TimePoint now);
    void setSlowFactor(double factor, TimePoint now);

    EndpointRecord record() const;
    std::vector<DispatchRecord> dispatches() const { return m_dispatches; }

private:
    struct Running {
        /// Index in m_dispatches.
        size_t dispatch = 0;
        /// The engine's stream number, or the position of the application endpoint's record.
        uint64_t stream = 0;
    };

    void finish(const RequestId& id, TimePoint now);

    Endpoint m_endpoint;
    bool m_isPlain;
    bool m_isUp = true;
    std::optional<TimePoint> m_leavingSince;
    fakes::EngineModel m_engine;
    fakes::ServiceModel m_service;
    std::unordered_map<RequestId, Running> m_running;
    std::unordered_map<uint64_t, RequestId> m_byStream;
    std::vector<DispatchRecord> m_dispatches;
};

} // namespace lentilbay
