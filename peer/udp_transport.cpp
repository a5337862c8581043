#include "peer/udp_transport.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace snipefall {

namespace {

/** Holds several hundred datagrams, so that a join or the end of a network partition in a cluster of 470 nodes does not overflow it. */
constexpr int RECEIVE_BUFFER_BYTES = 1 << 20;

failure systemFailure(const char *what)
{
    return {error_code::unavailable, std::string(what) + ": " + std::strerror(errno)};
}

} // namespace

udp_transport::udp_transport(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
    , m_buffer(maxBytes, '\0')
{
}

udp_transport::~udp_transport()
{
    close();
}

outcome<socket_address> udp_transport::bind(const socket_address &address)
{
    close();
    m_socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_socket < 0) {
        return systemFailure("socket");
    }
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER_BYTES, sizeof RECEIVE_BUFFER_BYTES);
    sockaddr_in raw = address.raw();
    socklen_t size = sizeof raw;
    if (::bind(m_socket, reinterpret_cast<const sockaddr *>(&raw), size) != 0 || ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&raw), &size) != 0) {
        const failure reason = systemFailure("bind");
        close();
        return reason;
    }
    return socket_address::from(raw);
}

bool udp_transport::send(const socket_address &to, const std::string &bytes)
{
    const sockaddr_in raw = to.raw();
    const ssize_t sent = ::sendto(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL, reinterpret_cast<const sockaddr *>(&raw), sizeof raw);
    return sent == static_cast<ssize_t>(bytes.size());
}

std::optional<udp_datagram> udp_transport::receive(duration timeout)
{
    pollfd descriptor{m_socket, POLLIN, 0};
    const auto timeoutMs = std::chrono::ceil<std::chrono::milliseconds>(std::max(timeout, duration::zero())).count();
    if (::poll(&descriptor, 1, static_cast<int>(timeoutMs)) <= 0) {
        return std::nullopt;
    }
    sockaddr_in raw{};
    socklen_t size = sizeof raw;
    const ssize_t received = ::recvfrom(m_socket, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT | MSG_TRUNC, reinterpret_cast<sockaddr *>(&raw), &size);
    if (received < 0) {
        return std::nullopt;
    }
    udp_datagram datagram;
    datagram.from = socket_address::from(raw);
    datagram.oversized = static_cast<std::size_t>(received) > m_maxBytes;
    datagram.bytes = m_buffer.substr(0, std::min(static_cast<std::size_t>(received), m_maxBytes));
    return datagram;
}

void udp_transport::close()
{
    if (m_socket >= 0) {
        ::close(m_socket);
        m_socket = -1;
    }
}

} // namespace snipefall
