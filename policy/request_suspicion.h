#pragma once

#include <optional>

#include "policy/crash_event.h"
#include "policy/fact.h"
#include "policy/request_fingerprint.h"

namespace snipefall {

/** The gossip message about a request that was in flight at the crash of a backend server, or that has succeeded since. */
struct request_suspicion
{
    request_fingerprint request;
    std::optional<crash_event> crash; ///< Nothing if the request is cleared because it has succeeded.
};

/** The fact by which @p suspicion is published to the other nodes. */
fact encodeSuspicion(const request_suspicion &suspicion);
/** The suspicion that @p published carries; nothing if the fact is malformed. */
std::optional<request_suspicion> decodeSuspicion(const fact &published);

} // namespace snipefall
