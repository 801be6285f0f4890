// Load polling over HTTP.
#include "EndpointLoadPoller.h"

#include "Daemon.h"
#include "LoadResponse.h"
#include "lentilbay/Support/SteadyClock.h"

#include <fmt/format.h>
#include <utility>

namespace lentilbay {
namespace {

constexpr Duration pollInterval = std::chrono::seconds { 1 };
constexpr Duration checkInterval = std::chrono::milliseconds { 200 };
constexpr Duration responseTimeout = std::chrono::seconds { 2 };
constexpr size_t maxResponseBytes = 65'536;

} // namespace

/// One GET /load request. Data that would exceed maxResponseBytes, more than any endpoint sends, is
/// discarded.
class EndpointLoadPoller::LoadQuery final : public HttpHandler {
public:
    LoadQuery(EndpointLoadPoller& loads, EndpointId endpoint)
        : m_loads(loads)
        , m_endpoint(std::move(endpoint))
    {
    }

    void headArrived(const HttpHead& head) override { m_status = head.status; }

    bool bytesArrived(std::string_view bytes) override
    {
        if (m_body.size() + bytes.size() <= maxResponseBytes)
            m_body.append(bytes);
        return true;
    }

    void ended(HttpEnd end, const std::string&) override
    {
        constexpr int statusOk = 200;
        if (end == HttpEnd::Complete && m_status == statusOk)
            m_loads.handleResponse(m_endpoint, m_body);
    }

private:
    EndpointLoadPoller& m_loads;
    EndpointId m_endpoint;
    int m_status = 0;
    std::string m_body;
};

EndpointLoadPoller::EndpointLoadPoller(Daemon& daemon)
    : m_daemon(daemon)
{
}

void EndpointLoadPoller::step(TimePoint now)
{
    if (now < m_nextCheck)
        return;
    m_nextCheck = now + checkInterval;
    std::map<EndpointId, TimePoint> nextPoll;
    for (auto& id : m_daemon.plane().slots().ownedEndpoints()) {
        const auto it = m_nextPoll.find(id);
        auto at = it == m_nextPoll.end() ? now : it->second;
        if (at <= now) {
            poll(id);
            at = now + pollInterval;
        }
        nextPoll.emplace(std::move(id), at);
    }
    m_nextPoll = std::move(nextPoll);
}

void EndpointLoadPoller::poll(const EndpointId& endpoint)
{
    const auto* state = m_daemon.blackboard().findEndpointState(endpoint);
    if (state == nullptr)
        return;
    HttpCall call { .url = fmt::format("http://{}:{}/load", state->endpoint.host, state->endpoint.port),
        .timeout = responseTimeout };
    m_daemon.client().start(std::move(call), std::make_shared<LoadQuery>(*this, endpoint));
}

void EndpointLoadPoller::handleResponse(const EndpointId& endpoint, const std::string& body)
{
    const auto now = steadyNow();
    const auto response = parseLoadResponse(body, now);
    if (!response)
        return;
    m_daemon.plane().slots().loadReported(endpoint, response->load, response->leaving, now);
    m_daemon.wake();
}

} // namespace lentilbay
