// An endpoint in virtual time: a fake model engine or application endpoint behind one interface.
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

/// What reaches an endpoint.
struct VirtualDispatch {
    RequestId id;
    ServiceId service;
    std::string key;
    uint64_t contentDigest = 0;
    uint32_t promptTokens = 0;
    uint32_t answerTokens = 1;
    std::vector<uint64_t> prefixHashes;
};

/// What an endpoint tells the daemon that dispatched.
struct VirtualOutput {
    enum class Kind : uint8_t { Token, Whole, Broken };

    RequestId id;
    Kind kind = Kind::Token;
    uint32_t cachedTokens = 0;
};

class VirtualEndpoint {
public:
    explicit VirtualEndpoint(Endpoint endpoint, bool isPlain);

    const Endpoint& endpoint() const { return m_endpoint; }
    /// Whether connections to it come about.
    bool accepts() const { return m_isUp; }
    /// False where it refuses the request, or has died, and does nothing of it.
    bool submit(const VirtualDispatch& dispatch, TimePoint now);
    void cancel(const RequestId& id, TimePoint now);
    std::vector<VirtualOutput> advance(TimePoint now);
    std::optional<TimePoint> nextWake() const;
    LoadReport load(TimePoint now) const;
    bool isLeaving() const;

    /// The process dies with all its work; the broken requests are returned.
    std::vector<VirtualOutput> kill(TimePoint now);
    void restart();
    void setLeaving(TimePoint now);
    void setSlowFactor(double factor, TimePoint now);

    EndpointRecord record() const;
    std::vector<DispatchRecord> dispatches() const { return m_dispatches; }

private:
    struct Running {
        size_t dispatch = 0;
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
