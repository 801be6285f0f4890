// Polls the load of each endpoint that this daemon owns, about once a second.
//
// If an endpoint does not respond, its last report is kept and its age grows. An unreachable endpoint is
// detected by the requests that are sent to it, not here.
#pragma once

#include "DaemonPart.h"
#include "lentilbay/Platform/HttpClient.h"
#include "lentilbay/Support/Identifier.h"

#include <map>
#include <memory>

namespace lentilbay {

class Daemon;

class EndpointLoadPoller final : public DaemonPart {
public:
    /// The daemon must outlive the part.
    explicit EndpointLoadPoller(Daemon& daemon);

    void step(TimePoint now) override;
    std::optional<TimePoint> nextWake() const override { return m_nextCheck; }

private:
    class LoadQuery;

    void poll(const EndpointId& endpoint);
    void handleResponse(const EndpointId& endpoint, const std::string& body);

    Daemon& m_daemon;
    TimePoint m_nextCheck {};
    /// The time of the next poll of each owned endpoint.
    std::map<EndpointId, TimePoint> m_nextPoll;
};

} // namespace lentilbay
