// Shared by the gateway tests: a configuration with a service of each kind, and a channel that records the
// response.
#pragma once

#include "lentilbay/Gateway/Caller.h"
#include "lentilbay/Model/Configuration.h"

#include <string>

namespace lentilbay {

constexpr auto testKey = "sk-press";

/// Returns a configuration with the tiers high and low; the organisations press (both tiers) and coop (high
/// only); the models m1 and m2 on one endpoint; and the plain services stock (idempotent), books
/// (non-idempotent, key required) and notes (non-idempotent, key optional) on another endpoint.
Configuration testConfiguration(uint16_t enginePort, uint16_t servicePort);

CallerRequest testRequest(
    std::string method, std::string path, std::string body = "", std::vector<HttpField> fields = {});

struct FakeChannel final : CallerChannel {
    void answer(CallerAnswer response) override;
    void beginStream(std::vector<HttpField> fields) override;
    void write(std::string_view bytes) override;
    void endStream() override;
    size_t backlog() const override { return backlogBytes; }
    void onDrained(std::function<void()> function) override { drainedCallback = std::move(function); }

    /// The "code" and "ran" members of the error in the response or in the last event of the stream; "" if
    /// there is no error.
    std::string code() const;
    std::string ran() const;

    int answers = 0;
    CallerAnswer response;
    bool streamStarted = false;
    bool ended = false;
    std::string streamed;
    /// The value that backlog() returns.
    size_t backlogBytes = 0;
    std::function<void()> drainedCallback;
};

} // namespace lentilbay
