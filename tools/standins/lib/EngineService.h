// HTTP front end of the fake engine. docs/design/Interfaces.md lists its calls.
#pragma once

#include "HttpServer.h"
#include "WakeTimer.h"
#include "lentilbay/Fakes/EngineModel.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace lentilbay::standins {

using namespace fakes;

class EngineService {
public:
    explicit EngineService(EngineOptions options)
        : m_engine(options)
    {
    }

    void start(CallAfter callAfter)
    {
        m_timer.start(std::move(callAfter), [this] { advanceModel(); });
    }

    void handle(const HttpRequest& request, HttpExchangePtr exchange);

private:
    /// The HTTP response that one stream of the engine is written to.
    struct PendingResponse {
        HttpExchangePtr exchange;
        std::string requestId;
        std::string model;
        uint64_t digest = 0;
        bool chat = false;
        bool streaming = false;
        bool sentUsage = false;
        /// If streaming, the SSE events not yet written; otherwise the text generated so far.
        std::string text;
    };

    void complete(const HttpRequest& request, HttpExchangePtr exchange, bool chat);
    void resume(const HttpRequest& request, HttpExchangePtr exchange);
    void cancel(const HttpRequest& request, HttpExchangePtr exchange);
    void control(const HttpRequest& request, HttpExchangePtr exchange);
    void exportPrefix(const HttpRequest& request, HttpExchangePtr exchange);
    void importPrefix(const HttpRequest& request, HttpExchangePtr exchange);
    void order(const HttpRequest& request, HttpExchangePtr exchange);
    std::string loadJson() const;
    std::string eventsJson(uint64_t after) const;
    std::string modelsJson() const;
    std::string recordsJson() const;

    void advanceModel();
    void deliver(const EngineOutput& output);
    void addToken(PendingResponse& response, const EngineOutput& output);
    void finish(PendingResponse& response, const EngineOutput& output);
    std::string chunkOf(const PendingResponse& response, const EngineOutput& output) const;
    std::string usageChunkOf(const PendingResponse& response, const EngineOutput& output) const;
    std::string responseBodyOf(const PendingResponse& response, const EngineOutput& output) const;

    EngineModel m_engine;
    WakeTimer m_timer;
    /// Keyed by the number of the engine's stream.
    std::unordered_map<uint64_t, PendingResponse> m_pendingResponses;
    /// What /v1/resume needs to write the remaining chunks of an earlier request.
    struct ResumableRequest {
        std::string model;
        uint64_t digest = 0;
        bool chat = false;
    };
    /// Keyed by request id.
    std::unordered_map<std::string, ResumableRequest> m_resumableRequests;
    /// While set, every connection except those of /control and /records is closed without a response.
    bool m_outage = false;
};

} // namespace lentilbay::standins
