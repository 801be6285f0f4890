// The [peers] section of the settings: addresses, keys and byte budgets of the communication between daemons.
#pragma once

#include "lentilbay/Fleet/ByteBudget.h"
#include "lentilbay/Fleet/PeerCodec.h"
#include "lentilbay/Support/Ini.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace lentilbay {

struct PeerSettings {
    /// IP address and port for both UDP and TCP, such as "10.0.0.1:7000"; empty if the daemon has no peers.
    std::string address;
    std::vector<std::string> seeds;
    std::string cluster = "lentilbay";
    /// One or two keys; the first signs outgoing packets.
    std::vector<PeerKey> keys;
    /// Bytes per second, indexed by LinkClass; 0 means unlimited.
    std::array<uint64_t, linkClassCount> bytesPerSecond {};
};

/// Reads the section and adds every error to the diagnostics. Without the section the daemon has no peers.
PeerSettings readPeerSettings(const IniDocument& document, Diagnostics& diagnostics);

/// The effective settings as INI text. Keys are listed by id only, in comments.
std::string printPeerSettings(const PeerSettings& settings);

/// Whether the text is an IP address and port, such as "127.0.0.1:7000" or "[::1]:7000".
bool isPeerAddress(const std::string& text);

} // namespace lentilbay
