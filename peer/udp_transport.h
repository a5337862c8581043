#pragma once

#include <optional>
#include <string>

#include "core/clock.h"
#include "core/outcome.h"
#include "peer/udp_datagram.h"

namespace snipefall {

/** A bound UDP socket. Sending is thread-safe; only one thread may receive. */
class udp_transport
{
public:
    explicit udp_transport(std::size_t maxBytes);
    ~udp_transport();
    udp_transport(const udp_transport &) = delete;
    udp_transport &operator=(const udp_transport &) = delete;

    /** Binds to @p address; port 0 selects a free port. Returns the bound address, or unavailable on failure. */
    outcome<socket_address> bind(const socket_address &address);

    /** Sends without blocking. Returns false when the operating system does not accept the datagram, which is then lost. */
    bool send(const socket_address &to, const std::string &bytes);

    /** Waits up to @p timeout for a datagram. Returns nothing when none arrives or receiving fails. */
    std::optional<udp_datagram> receive(duration timeout);

    void close();

private:
    std::size_t m_maxBytes;
    int m_socket = -1;
    std::string m_buffer;
};

} // namespace snipefall
