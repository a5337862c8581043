#include "tests/stand_ins/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>

namespace snipefall {

namespace {

// Below the ephemeral port range: an outgoing connection could take an ephemeral port between this check and its use.
constexpr unsigned FIRST_PORT = 20'000;
constexpr unsigned PORT_COUNT = 12'000;
// Start offset per process id, so that test programs that run concurrently start at different ports.
constexpr unsigned PORT_STRIDE_PER_PROCESS = 211;

bool canBind(unsigned short port, int type)
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
    static std::atomic<unsigned> s_next = static_cast<unsigned>(::getpid()) * PORT_STRIDE_PER_PROCESS;
    for (unsigned attempts = 0; attempts < PORT_COUNT; ++attempts) {
        const auto port = static_cast<unsigned short>(FIRST_PORT + s_next++ % PORT_COUNT);
        if (canBind(port, SOCK_STREAM) && canBind(port, SOCK_DGRAM)) {
            return port;
        }
    }
    return 0;
}

std::string freeAddress()
{
    return "127.0.0.1:" + std::to_string(freePort());
}

} // namespace snipefall
