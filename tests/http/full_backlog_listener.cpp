#include "tests/http/full_backlog_listener.h"

#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

full_backlog_listener::full_backlog_listener()
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    m_sockets.push_back(listener);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (::bind(listener, reinterpret_cast<sockaddr *>(&address), size) != 0 || ::listen(listener, 0) != 0
        || ::getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        throw std::runtime_error("listener with a full accept queue can't be set up on a loopback port");
    }
    m_port = ntohs(address.sin_port);
    // With a backlog of 0 the kernel queues one connection. The other pending connects keep the accept queue full.
    for (int i = 0; i < 4; ++i) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        static_cast<void>(::connect(socket, reinterpret_cast<sockaddr *>(&address), size));
        m_sockets.push_back(socket);
    }
}

full_backlog_listener::~full_backlog_listener()
{
    for (const int socket : m_sockets) {
        ::close(socket);
    }
}
