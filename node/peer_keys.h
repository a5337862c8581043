#pragma once

#include <string>
#include <vector>

#include "core/outcome.h"
#include "peer/peer_key.h"

namespace snipefall {

/** Reads a key file: one or two lines "id:hex", the first one signs. Refuses a file that others than its owner can read. */
outcome<std::vector<peer_key>> loadPeerKeys(const std::string &path);

} // namespace snipefall
