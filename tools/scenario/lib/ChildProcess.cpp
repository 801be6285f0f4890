// Starts and reaps processes with posix_spawn and waitpid.
#include "ChildProcess.h"

#include "lentilbay/Support/SteadyClock.h"

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <system_error>
#include <thread>
#include <unistd.h>
#include <utility>

namespace lentilbay::scenario {

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(2);
// A process that a signal ended reports this plus the signal number, as a shell does.
constexpr int signalExitCodeBase = 128;
// Below Linux's ephemeral port range. Each process takes ports from its own block, selected by process ID, so
// that concurrent runs do not pick the same port in the time between choosing it and listening on it.
constexpr uint32_t portRangeStart = 10'000;
constexpr uint32_t portsPerBlock = 100;
constexpr uint32_t portBlockCount = 220;

/// A socket that tries to bind to the port on loopback; closed by the destructor.
class BoundSocket {
public:
    BoundSocket(int type, uint16_t port)
        : m_socket(socket(AF_INET, type, 0))
    {
        m_address.sin_family = AF_INET;
        m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_address.sin_port = htons(port);
        m_bound = bind(m_socket, reinterpret_cast<sockaddr*>(&m_address), sizeof(m_address)) == 0;
    }
    BoundSocket(const BoundSocket&) = delete;
    BoundSocket& operator=(const BoundSocket&) = delete;
    ~BoundSocket() { close(m_socket); }

    bool isBound() const { return m_bound; }

private:
    int m_socket;
    sockaddr_in m_address {};
    bool m_bound = false;
};

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command, const std::string& log)
{
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto& it : command)
        arguments.push_back(const_cast<char*>(it.c_str()));
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const auto error = posix_spawn(&m_process, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::system_error(error, std::generic_category(), command.front());
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : m_process(std::exchange(other.m_process, 0))
    , m_exitCode(other.m_exitCode)
{
}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept
{
    std::swap(m_process, other.m_process);
    std::swap(m_exitCode, other.m_exitCode);
    return *this;
}

ChildProcess::~ChildProcess()
{
    if (!isRunning())
        return;
    signal(SIGKILL);
    reap(0);
}

bool ChildProcess::isRunning()
{
    reap(WNOHANG);
    return m_process != 0;
}

void ChildProcess::signal(int number)
{
    if (isRunning())
        kill(m_process, number);
}

std::optional<int> ChildProcess::wait(Duration timeout)
{
    const auto end = steadyNow() + timeout;
    while (isRunning() && steadyNow() < end)
        std::this_thread::sleep_for(pollInterval);
    return m_exitCode;
}

void ChildProcess::reap(int options)
{
    int status = 0;
    if (m_process == 0 || waitpid(m_process, &status, options) != m_process)
        return;
    m_process = 0;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : signalExitCodeBase + WTERMSIG(status);
}

uint16_t freePort()
{
    static uint32_t usedPorts = 0;
    const auto blockStart = portRangeStart + static_cast<uint32_t>(getpid()) % portBlockCount * portsPerBlock;
    while (usedPorts < portsPerBlock) {
        const auto port = static_cast<uint16_t>(blockStart + usedPorts++);
        const BoundSocket datagrams(SOCK_DGRAM, port);
        const BoundSocket streams(SOCK_STREAM, port);
        if (datagrams.isBound() && streams.isBound())
            return port;
    }
    throw std::runtime_error("no port is free for both TCP and UDP");
}

} // namespace lentilbay::scenario
