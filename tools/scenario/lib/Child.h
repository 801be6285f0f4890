// A process that the runner started: signalled and awaited by its id, and ended with its object.
#pragma once

#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace lentilbay::scenario {

class Child {
public:
    /// Starts the program; its outputs are appended to the log. Throws std::system_error.
    Child(const std::vector<std::string>& command, const std::string& log);
    Child(Child&& other) noexcept;
    Child& operator=(Child&& other) noexcept;
    /// Kills the process if it still runs.
    ~Child();

    bool isRunning();
    /// Nothing happens where it has ended.
    void signal(int number);
    /// The exit code, 128 and the signal's number where a signal ended it, or nothing after the patience.
    std::optional<int> wait(Duration patience);

private:
    void reap(int options);

    /// 0 once it has been reaped.
    pid_t m_process = 0;
    std::optional<int> m_exitCode;
};

/// A port of 127.0.0.1 that was free for TCP and UDP a moment ago, and that the system gives to nobody by
/// itself.
uint16_t freePort();

} // namespace lentilbay::scenario
