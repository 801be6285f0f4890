// A bare RESTinio responder on a thread of its own: the yardstick, and the engine behind the daemon.
//
// It answers /load, a completion with a small fixed body, and one with "stream": true with a given number of
// tokens, each in a chunk and a write of its own.
#pragma once

#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <memory>

namespace lentilbay {

class Responder {
public:
    explicit Responder(uint32_t streamTokens);
    Responder(const Responder&) = delete;
    Responder& operator=(const Responder&) = delete;
    ~Responder();

    uint16_t port() const;
    /// The processor time that its thread has used.
    Duration processorTime() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// The processor time of the calling thread.
Duration threadProcessorTime();

} // namespace lentilbay
