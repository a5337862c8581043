#pragma once

#include <string>
#include <vector>

#include "core/outcome.h"
#include "peer/peer_key.h"

namespace snipefall {

/** Reads a key file of one or two lines "id:hex"; the first key signs. Fails if users other than the owner have access to the file. */
outcome<std::vector<peer_key>> loadPeerKeys(const std::string &path);

} // namespace snipefall
