// A bare RESTinio server on its own thread: the measured baseline and the engine behind the daemon.
//
// It answers /load and completions with small fixed bodies. A completion with "stream": true is streamed as a
// given number of tokens, each in a separate chunk and write.
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
    /// The processor time used by the server's thread, as of the last request that it received.
    Duration processorTime() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// The processor time used by the calling thread.
Duration threadProcessorTime();

} // namespace lentilbay
