#pragma once

#include <string>

namespace snipefall {

/** Returns a port of 127.0.0.1 that was free for both TCP and UDP at the time of the call, or 0 if none was found. */
unsigned short freePort();
/** Returns "127.0.0.1:port" with such a port. */
std::string freeAddress();

} // namespace snipefall
