#pragma once

#include <string>

namespace snipefall {

/** A secret key shared by all nodes, used to authenticate peer messages. */
struct peer_key
{
    std::string id; ///< 1 to 16 bytes; sent in each message.
    std::string secret; ///< At least 16 bytes.
};

} // namespace snipefall
