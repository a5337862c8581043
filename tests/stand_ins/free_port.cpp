#include "tests/stand_ins/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>

namespace snipefall {

namespace {

// Below the range that systems use for outgoing connections: one of those may take a port between this check and its use.
constexpr unsigned FIRST_PORT = 20'000;
constexpr unsigned PORTS = 12'000;
// Test programs that run at the same time start at different ports.
constexpr unsigned PORTS_OF_PROCESS = 211;

bool mayBind(unsigned short port, int type)
{
    const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool bound = ::bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
    ::close(socket);
    return bound;
}

} // namespace

unsigned short freePort()
{
    static std::atomic<unsigned> s_next = static_cast<unsigned>(::getpid()) * PORTS_OF_PROCESS;
    for (unsigned tries = 0; tries < PORTS; ++tries) {
        const auto port = static_cast<unsigned short>(FIRST_PORT + s_next++ % PORTS);
        if (mayBind(port, SOCK_STREAM) && mayBind(port, SOCK_DGRAM)) {
            return port;
        }
    }
    return 0;
}

} // namespace snipefall
