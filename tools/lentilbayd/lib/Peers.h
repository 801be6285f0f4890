// Exchanges messages with other daemons and logs membership changes.
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
    /// Binds the peer address. Throws std::runtime_error if the address cannot be bound. The daemon must
    /// outlive the part.
    Peers(Daemon& daemon, const PeerSettings& settings);

    void step(TimePoint now) override;

private:
    void appendMetrics(std::string& out) const;
    void handlePacket(const Packet& packet, const std::string& address);

    Daemon& m_daemon;
    PeerLinks m_links;
};

/// Derives the membership options from the peer settings.
MembershipOptions membershipOptionsOf(const PeerSettings& settings, uint64_t seed, uint64_t incarnation);

} // namespace lentilbay
