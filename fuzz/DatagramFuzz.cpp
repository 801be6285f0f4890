// Fuzzes the decoding of peers' datagrams: only a packet sealed with the cluster's key is accepted.
#include "lentilbay/Fleet/PeerCodec.h"

#include <cstdlib>
#include <iostream>

using namespace lentilbay;

namespace {

constexpr auto address = "127.0.0.1:7000";

PeerCodec makeCodec(const std::string& name)
{
    return PeerCodec({ .cluster = "fuzz",
        .self = DaemonId(name),
        .address = address,
        .keys = { { .id = 1, .secret = std::string(32, 'k') } } });
}

/// Makes the sealed packet that the fuzzer's input modifies.
std::string makeSealedPacket()
{
    auto codec = makeCodec("sender");
    const std::vector<PeerMessage> messages { DemandReport {
        .sequence = 1, .demands = { { .service = ServiceId("editor"), .rank = 1, .waiting = 2 } } } };
    return codec.encode(address, 1, currentPeerVersion, messages).at(0).bytes;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    auto codec = makeCodec("receiver");
    if (std::holds_alternative<Packet>(codec.decode(bytes, TimePoint {}))) {
        std::cerr << "an unsealed packet was accepted\n";
        std::abort();
    }
    // Modify a sealed packet: each pair of input bytes is a position and a value to add there.
    static const auto sealed = makeSealedPacket();
    auto changed = sealed;
    for (size_t at = 0; at + 1 < size; at += 2)
        changed[data[at] % changed.size()]
            = static_cast<char>(changed[data[at] % changed.size()] + data[at + 1]);
    const bool accepted = std::holds_alternative<Packet>(codec.decode(changed, TimePoint {}));
    if (accepted != (changed == sealed)) {
        std::cerr << "a modified sealed packet was accepted, or an unmodified one was rejected\n";
        std::abort();
    }
    return 0;
}
