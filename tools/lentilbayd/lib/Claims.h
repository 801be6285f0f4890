// Connects the gateway to the claim controller, which claims the idempotency keys of requests.
#pragma once

#include "DaemonPart.h"
#include "lentilbay/Control/ClaimController.h"
#include "lentilbay/Support/Ini.h"

#include <string>

namespace lentilbay {

class Daemon;
struct CallerAnswer;

class Claims final : public DaemonPart, private AnswerSource {
public:
    /// Replaces the daemon's default claim handler, which refuses requests with an idempotency key. The
    /// daemon must outlive the part.
    Claims(Daemon& daemon, ClaimOptions options);

    void step(TimePoint now) override;
    std::optional<TimePoint> nextWake() const override { return m_controller.nextWake(); }

private:
    std::optional<ClaimReport> finishedReport(const RequestId& id) const override;
    void apply(const ClaimHeld& decision, TimePoint now);
    void apply(const ClaimFollows& decision, TimePoint now);
    void apply(const ClaimHeldElsewhere& decision, TimePoint now);
    void apply(const ClaimAnswered& decision, TimePoint now);
    void apply(const ClaimRefused& decision, TimePoint now);
    void appendMetrics(std::string& out) const;

    Daemon& m_daemon;
    ClaimController m_controller;
};

/// Reads the [claims] section and adds every error to `diagnostics`.
ClaimOptions readClaimOptions(const IniDocument& document, Diagnostics& diagnostics);
/// Returns the effective options as INI text.
std::string printClaimOptions(const ClaimOptions& options);

} // namespace lentilbay
