// The fake engine behind its HTTP calls, as docs/design/Interfaces.md lists them.
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
        m_timer.start(std::move(callAfter), [this] { pump(); });
    }

    void handle(const HttpRequest& request, HttpExchangePtr exchange);

private:
    /// Who reads a stream of the engine.
    struct Reader {
        HttpExchangePtr exchange;
        std::string requestId;
        std::string model;
        uint64_t digest = 0;
        bool chat = false;
        bool streams = false;
        bool sentUsage = false;
        /// The chunks (of a stream: not yet written) or the answer's text so far.
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

    void pump();
    void deliver(const EngineOutput& output);
    void addToken(Reader& reader, const EngineOutput& output);
    void finish(Reader& reader, const EngineOutput& output);
    std::string chunkOf(const Reader& reader, const EngineOutput& output) const;
    std::string usageChunkOf(const Reader& reader, const EngineOutput& output) const;
    std::string answerOf(const Reader& reader, const EngineOutput& output) const;

    EngineModel m_engine;
    WakeTimer m_timer;
    /// By number of the stream.
    std::unordered_map<uint64_t, Reader> m_readers;
    /// Chat or not and digest of each request, for resume.
    struct Known {
        std::string model;
        uint64_t digest = 0;
        bool chat = false;
    };
    std::unordered_map<std::string, Known> m_known;
    /// Connections break without an answer while this holds.
    bool m_outage = false;
};

} // namespace lentilbay::standins
