#pragma once

#include <functional>
#include <string>

#include "core/outcome.h"
#include "peer/peer_message.h"

namespace snipefall {

/** Handles one request from a peer. Runs on a thread of the server and may be called concurrently. A failure is returned to the requesting peer. */
using exchange_handler = std::function<outcome<std::string>(const peer_message &request)>;

} // namespace snipefall
