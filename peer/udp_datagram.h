#pragma once

#include <string>

#include "peer/socket_address.h"

namespace snipefall {

/** A received datagram. */
struct udp_datagram
{
    socket_address from;
    std::string bytes;
    bool oversized = false; ///< The datagram exceeded the size limit, and bytes is truncated.
};

} // namespace snipefall
