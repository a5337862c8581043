#pragma once

namespace snipefall {

/** A TCP port of 127.0.0.1 that was free at the time of the call; 0 if there is none. */
unsigned short freePort();

} // namespace snipefall
