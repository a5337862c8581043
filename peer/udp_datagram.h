#pragma once

#include <string>

#include "peer/socket_address.h"

namespace snipefall {

/** A received datagram. */
struct udp_datagram
{
    socket_address from;
    std::string bytes;
    bool oversized = false; ///< It was longer than the limit and is cut.
};

} // namespace snipefall
