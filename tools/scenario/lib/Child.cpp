// posix_spawn and waitpid.
#include "Child.h"

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
constexpr int signalledExitCode = 128;
// Below the ports that Linux gives to outgoing connections. Runs beside each other take ports from blocks of
// their own, by process number, since a port that was given out is not listened on at once.
constexpr uint32_t firstOwnPort = 10'000;
constexpr uint32_t portsInBlock = 100;
constexpr uint32_t portBlocks = 220;

/// A socket bound to the port; closed with its object.
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

Child::Child(const std::vector<std::string>& command, const std::string& log)
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

Child::Child(Child&& other) noexcept
    : m_process(std::exchange(other.m_process, 0))
    , m_exitCode(other.m_exitCode)
{
}

Child& Child::operator=(Child&& other) noexcept
{
    std::swap(m_process, other.m_process);
    std::swap(m_exitCode, other.m_exitCode);
    return *this;
}

Child::~Child()
{
    if (!isRunning())
        return;
    signal(SIGKILL);
    reap(0);
}

bool Child::isRunning()
{
    reap(WNOHANG);
    return m_process != 0;
}

void Child::signal(int number)
{
    if (isRunning())
        kill(m_process, number);
}

std::optional<int> Child::wait(Duration patience)
{
    const auto end = steadyNow() + patience;
    while (isRunning() && steadyNow() < end)
        std::this_thread::sleep_for(pollInterval);
    return m_exitCode;
}

void Child::reap(int options)
{
    int status = 0;
    if (m_process == 0 || waitpid(m_process, &status, options) != m_process)
        return;
    m_process = 0;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : signalledExitCode + WTERMSIG(status);
}

uint16_t freePort()
{
    static uint32_t given = 0;
    const auto firstPort = firstOwnPort + static_cast<uint32_t>(getpid()) % portBlocks * portsInBlock;
    while (given < portsInBlock) {
        const auto port = static_cast<uint16_t>(firstPort + given++);
        const BoundSocket datagrams(SOCK_DGRAM, port);
        const BoundSocket streams(SOCK_STREAM, port);
        if (datagrams.isBound() && streams.isBound())
            return port;
    }
    throw std::runtime_error("no port is free for both TCP and UDP");
}

} // namespace lentilbay::scenario
