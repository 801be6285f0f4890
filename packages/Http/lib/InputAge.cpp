// Reads TCP_INFO.
#include "InputAge.h"

#include <cstddef>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lentilbay::http {

std::optional<Duration> lastInputAge(int socket)
{
    tcp_info info {};
    socklen_t n = sizeof info;
    // An older kernel knows fewer fields.
    constexpr size_t needed = offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv;
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &n) != 0 || n < needed)
        return std::nullopt;
    // Some systems leave the times at zero.
    if (info.tcpi_last_data_recv == 0 && info.tcpi_last_data_sent == 0 && info.tcpi_last_ack_recv == 0)
        return std::nullopt;
    return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

} // namespace lentilbay::http
