#pragma once

#include <string>

namespace snipefall {

/** A key shared by all nodes. */
struct peer_key
{
    std::string id; ///< At most 16 bytes; travels in each message.
    std::string secret; ///< At least 16 bytes.
};

} // namespace snipefall
