#pragma once

#include <functional>
#include <string>

#include "core/outcome.h"
#include "peer/peer_message.h"

namespace snipefall {

/** Answers one request of a peer; runs on a thread of the server and may be called concurrently. A failure is passed to the requester. */
using exchange_handler = std::function<outcome<std::string>(const peer_message &request)>;

} // namespace snipefall
