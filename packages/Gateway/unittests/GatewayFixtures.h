// What the gateway's tests share: a configuration with one of each kind, and a caller that notes its answer.
#pragma once

#include "lentilbay/Gateway/Caller.h"
#include "lentilbay/Model/Configuration.h"

#include <string>

namespace lentilbay {

constexpr auto testKey = "sk-press";

/// Tiers high and low, organisations press (both tiers) and coop (high only), the models m1 and m2, and plain
/// services: stock, books (non-idempotent, key required) and notes (non-idempotent, key optional). All on one
/// endpoint of each kind.
Configuration testConfiguration(uint16_t enginePort, uint16_t servicePort);

CallerRequest testRequest(
    std::string method, std::string path, std::string body = "", std::vector<HttpField> fields = {});

struct FakeChannel final : CallerChannel {
    void answer(CallerAnswer given) override;
    void beginStream(std::vector<HttpField> fields) override;
    void write(std::string_view bytes) override;
    void endStream() override;
    size_t backlog() const override { return waiting; }
    void onDrained(std::function<void()> function) override { drained = std::move(function); }

    /// The "code" and "ran" of the error in the answer or in the stream's last event; "" where there is none.
    std::string code() const;
    std::string ran() const;

    int answers = 0;
    CallerAnswer given;
    bool begun = false;
    bool ended = false;
    std::string streamed;
    /// What backlog() says.
    size_t waiting = 0;
    std::function<void()> drained;
};

} // namespace lentilbay
