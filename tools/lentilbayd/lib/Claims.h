// Claims of keyed requests in the daemon: between the gateway, the claim controller and other daemons.
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
    /// Takes the place of the daemon's refusal of keyed requests. The daemon must outlive the part.
    Claims(Daemon& daemon, ClaimOptions options);

    void step(TimePoint now) override;
    std::optional<TimePoint> nextWake() const override { return m_controller.nextWake(); }

private:
    std::optional<ClaimReport> finishedReport(const RequestId& id) const override;
    void carry(const ClaimHeld& decision, TimePoint now);
    void carry(const ClaimFollows& decision, TimePoint now);
    void carry(const ClaimHeldElsewhere& decision, TimePoint now);
    void carry(const ClaimAnswered& decision, TimePoint now);
    void carry(const ClaimRefused& decision, TimePoint now);
    void appendMetrics(std::string& out) const;

    Daemon& m_daemon;
    ClaimController m_controller;
};

/// The [claims] section; every fault is added to the diagnostics.
ClaimOptions readClaimOptions(const IniDocument& document, Diagnostics& diagnostics);
/// What is in force, as INI text.
std::string printClaimOptions(const ClaimOptions& options);

} // namespace lentilbay
