#include "tests/stand_ins/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace snipefall {

unsigned short freePort()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    unsigned short port = 0;
    if (::bind(socket, reinterpret_cast<sockaddr *>(&address), size) == 0 && ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size) == 0) {
        port = ntohs(address.sin_port);
    }
    ::close(socket);
    return port;
}

} // namespace snipefall
