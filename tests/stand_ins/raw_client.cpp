#include "tests/stand_ins/raw_client.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/invariant.h"

namespace snipefall {

raw_client::raw_client(const std::string &address, int receiveBuffer)
    : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
{
    SNIPEFALL_INVARIANT(m_socket >= 0, "a test can't open a socket");
    if (receiveBuffer > 0) {
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    const std::size_t colon = address.rfind(':');
    sockaddr_in server{};
    server.sin_family = AF_INET;
    server.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &server.sin_addr);
    m_closed = ::connect(m_socket, reinterpret_cast<const sockaddr *>(&server), sizeof(server)) != 0;
    ::fcntl(m_socket, F_SETFL, O_NONBLOCK);
}

raw_client::~raw_client()
{
    if (m_socket >= 0) {
        ::close(m_socket);
    }
}

raw_client::raw_client(raw_client &&other) noexcept
    : m_socket(std::exchange(other.m_socket, -1))
    , m_bytesSent(other.m_bytesSent)
    , m_closed(other.m_closed)
{
}

raw_client &raw_client::operator=(raw_client &&other) noexcept
{
    std::swap(m_socket, other.m_socket);
    m_bytesSent = other.m_bytesSent;
    m_closed = other.m_closed;
    return *this;
}

std::size_t raw_client::send(const std::string &bytes)
{
    const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0) {
        m_closed = m_closed || (errno != EAGAIN && errno != EWOULDBLOCK);
        return 0;
    }
    m_bytesSent += static_cast<std::size_t>(sent);
    return static_cast<std::size_t>(sent);
}

bool raw_client::hasInput() const
{
    pollfd waiting{m_socket, POLLIN, 0};
    return m_closed || ::poll(&waiting, 1, 0) > 0;
}

std::string raw_client::receive(std::size_t maxBytes)
{
    std::string received(maxBytes, '\0');
    const ssize_t count = ::recv(m_socket, received.data(), received.size(), 0);
    m_closed = m_closed || count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    received.resize(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    return received;
}

bool raw_client::isClosed()
{
    char buffer[4096];
    while (!m_closed) {
        const ssize_t count = ::recv(m_socket, buffer, sizeof(buffer), 0);
        if (count > 0) {
            continue;
        }
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            break;
        }
        m_closed = true;
    }
    return m_closed;
}

} // namespace snipefall
