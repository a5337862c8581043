#pragma once

#include <optional>
#include <string>

#include "core/clock.h"
#include "core/outcome.h"
#include "peer/udp_datagram.h"

namespace snipefall {

/** A bound UDP socket. Sending is thread-safe; one thread receives. */
class udp_transport
{
public:
    explicit udp_transport(std::size_t maxBytes);
    ~udp_transport();
    udp_transport(const udp_transport &) = delete;
    udp_transport &operator=(const udp_transport &) = delete;

    /** Binds to @p address; port 0 takes a free one. Returns the bound address, or unavailable. */
    outcome<socket_address> bind(const socket_address &address);

    /** Sends without waiting. A datagram that the system doesn't take is lost, as any other may be; false then. */
    bool send(const socket_address &to, const std::string &bytes);

    /** Waits up to @p timeout for a datagram. */
    std::optional<udp_datagram> receive(duration timeout);

    void close();

private:
    std::size_t m_maxBytes;
    int m_socket = -1;
    std::string m_buffer;
};

} // namespace snipefall
