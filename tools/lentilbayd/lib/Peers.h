// The daemon's place in the fleet: carries messages to and from other daemons and logs what becomes of them.
#pragma once

#include "DaemonPart.h"
#include "lentilbay/Control/MembershipController.h"
#include "lentilbay/Fleet/PeerLinks.h"
#include "lentilbay/Fleet/PeerSettings.h"

#include <string>

namespace lentilbay {

class Daemon;

class Peers final : public DaemonPart {
public:
    /// Binds the peers' address; throws std::runtime_error where it cannot be used. The daemon must outlive
    /// the part.
    Peers(Daemon& daemon, const PeerSettings& settings);

    void step(TimePoint now) override;

private:
    void appendMetrics(std::string& out) const;
    void received(const Packet& packet, const std::string& address);

    Daemon& m_daemon;
    PeerLinks m_links;
};

/// What membership needs to know of the settings.
MembershipOptions membershipOptionsOf(const PeerSettings& settings, uint64_t seed, uint64_t incarnation);

} // namespace lentilbay
