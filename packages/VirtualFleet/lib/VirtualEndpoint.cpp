// Runs a fake engine or application endpoint and records each request that reaches it.
#include "lentilbay/VirtualFleet/VirtualEndpoint.h"

#include <utility>

namespace lentilbay {
namespace {

fakes::EngineOptions engineOptions(const Endpoint& endpoint)
{
    return { .knee = endpoint.slots, .maxRunning = endpoint.slots * 2, .kvTokens = endpoint.kvTokens };
}

fakes::ServiceOptions serviceOptions(const Endpoint& endpoint)
{
    return { .callTime = std::chrono::milliseconds(20), .maxRunning = endpoint.slots };
}

} // namespace

VirtualEndpoint::VirtualEndpoint(Endpoint endpoint, bool isPlain)
    : m_endpoint(std::move(endpoint))
    , m_isPlain(isPlain)
    , m_engine(engineOptions(m_endpoint))
    , m_service(serviceOptions(m_endpoint))
{
}

bool VirtualEndpoint::submit(const VirtualDispatch& dispatch, TimePoint now)
{
    DispatchRecord record { .id = dispatch.id,
        .contentDigest = dispatch.contentDigest,
        .endpoint = m_endpoint.name,
        .service = dispatch.service,
        .idempotencyKey = dispatch.key,
        .arrivedAt = now };
    std::optional<uint64_t> stream;
    if (!m_isUp) {
        // The connection was open when the request was written and broke before the endpoint read it.
        record.executed = false;
        record.endpointFailed = true;
        record.endedAt = now;
        m_dispatches.push_back(std::move(record));
        return false;
    }
    if (m_isPlain)
        stream = m_service.submit(
            { .id = dispatch.id, .key = dispatch.key, .digest = dispatch.contentDigest }, now);
    else
        stream = m_engine.submit({ .id = dispatch.id,
                                     .model = dispatch.service.text(),
                                     .digest = dispatch.contentDigest,
                                     .promptTokens = dispatch.promptTokens,
                                     .prefixHashes = dispatch.prefixHashes,
                                     .answerTokens = dispatch.answerTokens },
            now);
    record.executed = stream.has_value();
    record.endpointFailed = !stream.has_value();
    if (!stream)
        record.endedAt = now;
    else
        m_running[dispatch.id] = { m_dispatches.size(), *stream };
    if (stream)
        m_byStream[*stream] = dispatch.id;
    m_dispatches.push_back(std::move(record));
    return stream.has_value();
}

void VirtualEndpoint::finish(const RequestId& id, TimePoint now)
{
    const auto it = m_running.find(id);
    if (it == m_running.end())
        return;
    m_dispatches[it->second.dispatch].endedAt = now;
    m_byStream.erase(it->second.stream);
    m_running.erase(it);
}

void VirtualEndpoint::cancel(const RequestId& id, TimePoint now)
{
    if (!m_isPlain)
        m_engine.cancel(id, now);
    // Application endpoints don't support cancellation: the call continues, but nobody waits for it.
    if (!m_isPlain)
        finish(id, now);
}

std::vector<VirtualOutput> VirtualEndpoint::advance(TimePoint now)
{
    std::vector<VirtualOutput> out;
    if (!m_isUp)
        return out;
    m_engine.advance(now);
    m_service.advance(now);
    const auto add = [&](uint64_t stream, VirtualOutput::Kind kind) {
        const auto it = m_byStream.find(stream);
        if (it == m_byStream.end())
            return;
        const auto id = it->second;
        out.push_back({ .id = id, .kind = kind });
        if (kind != VirtualOutput::Kind::Token)
            finish(id, now);
    };
    for (const auto& it : m_engine.takeOutputs()) {
        const auto kind = it.kind == fakes::EngineOutput::Kind::Token ? VirtualOutput::Kind::Token
            : it.kind == fakes::EngineOutput::Kind::End               ? VirtualOutput::Kind::Complete
                                                                      : VirtualOutput::Kind::Broken;
        add(it.stream, kind);
        if (kind == VirtualOutput::Kind::Complete && !out.empty())
            out.back().cachedTokens = m_engine.records()[it.record].prefillCached;
    }
    for (const auto& it : m_service.takeOutputs())
        add(it.record, it.broken ? VirtualOutput::Kind::Broken : VirtualOutput::Kind::Complete);
    return out;
}

std::optional<TimePoint> VirtualEndpoint::nextWake() const
{
    if (!m_isUp)
        return std::nullopt;
    return m_isPlain ? m_service.nextWake() : m_engine.nextWake();
}

LoadReport VirtualEndpoint::load(TimePoint now) const
{
    if (m_isPlain) {
        const auto load = m_service.reportedLoad(now);
        return { .running = load.running, .waiting = load.waiting, .measuredAt = load.at };
    }
    const auto load = m_engine.reportedLoad(now);
    return { .running = load.running,
        .waiting = load.waiting,
        .kvTokensUsed = load.kvTokensUsed,
        .measuredAt = load.at };
}

bool VirtualEndpoint::isLeaving() const { return m_leavingSince.has_value(); }

std::vector<VirtualOutput> VirtualEndpoint::kill(TimePoint now)
{
    std::vector<VirtualOutput> out;
    m_isUp = false;
    for (const auto& [id, running] : m_running) {
        m_dispatches[running.dispatch].endedAt = now;
        m_dispatches[running.dispatch].endpointFailed = true;
        out.push_back({ .id = id, .kind = VirtualOutput::Kind::Broken });
    }
    m_running.clear();
    m_byStream.clear();
    return out;
}

void VirtualEndpoint::restart()
{
    m_isUp = true;
    m_engine = fakes::EngineModel(engineOptions(m_endpoint));
    m_service = fakes::ServiceModel(serviceOptions(m_endpoint));
}

void VirtualEndpoint::setLeaving(TimePoint now)
{
    if (!m_leavingSince)
        m_leavingSince = now;
}

void VirtualEndpoint::setSlowFactor(double factor, TimePoint now)
{
    auto faults = m_engine.faults();
    faults.slowFactor = factor;
    m_engine.setFaults(faults, now);
}

EndpointRecord VirtualEndpoint::record() const
{
    EndpointRecord out {
        .id = m_endpoint.name, .services = m_endpoint.services, .leavingSince = m_leavingSince
    };
    if (m_isPlain) {
        out.callTime = serviceOptions(m_endpoint).callTime;
        return out;
    }
    out.prefillTokensPerSecond = m_engine.options().prefillTokensPerSecond;
    out.decodeStep = m_engine.options().decodeStep;
    return out;
}

} // namespace lentilbay
