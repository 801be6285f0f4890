// The [peers] section of the settings: how this daemon and the others reach and trust each other.
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
    /// "10.0.0.1:7000": an IP number and a port, UDP and TCP alike; empty where the daemon has no peers.
    std::string address;
    std::vector<std::string> seeds;
    std::string cluster = "lentilbay";
    /// One or two; the first signs.
    std::vector<PeerKey> keys;
    /// Bytes a second by LinkClass; 0 means unlimited.
    std::array<uint64_t, linkClasses> bytesPerSecond {};
};

/// Reads the section; every fault is added to the diagnostics. Without the section the daemon stands alone.
PeerSettings readPeerSettings(const IniDocument& document, Diagnostics& diagnostics);

/// What is in force, as INI text; of the keys only their ids, in a comment.
std::string printPeerSettings(const PeerSettings& settings);

/// Whether the text is an IP number and a port, such as "127.0.0.1:7000" or "[::1]:7000".
bool isPeerAddress(const std::string& text);

} // namespace lentilbay
