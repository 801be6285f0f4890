// A child process of the runner, signalled and awaited by its process ID and killed by the destructor.
#pragma once

#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace lentilbay::scenario {

class ChildProcess {
public:
    /// Starts the program and appends its standard output and error to the log. Throws std::system_error if
    /// it cannot be started.
    ChildProcess(const std::vector<std::string>& command, const std::string& log);
    ChildProcess(ChildProcess&& other) noexcept;
    ChildProcess& operator=(ChildProcess&& other) noexcept;
    /// Kills the process if it still runs.
    ~ChildProcess();

    bool isRunning();
    /// Sends a signal; has no effect if the process has ended.
    void signal(int number);
    /// Returns the exit code, 128 plus the signal number if a signal ended the process, or nothing after the
    /// timeout.
    std::optional<int> wait(Duration timeout);

private:
    void reap(int options);

    /// 0 after the process has been reaped.
    pid_t m_process = 0;
    std::optional<int> m_exitCode;
};

/// Returns a port of 127.0.0.1 that was free for TCP and UDP when checked and lies below the ephemeral port
/// range. Throws std::runtime_error if this process's block of ports is exhausted.
uint16_t freePort();

} // namespace lentilbay::scenario
