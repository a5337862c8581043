#pragma once

#include <optional>

#include "policy/crash_event.h"
#include "policy/fact.h"
#include "policy/request_fingerprint.h"

namespace snipefall {

/** What nodes tell each other about a request that was near the crash of a backend server. */
struct request_suspicion
{
    request_fingerprint request;
    std::optional<crash_event> crash; ///< Nothing if the request is innocent: it ran without a crash.
};

fact encodeSuspicion(const request_suspicion &suspicion);
/** Returns nothing if the fact is malformed. */
std::optional<request_suspicion> decodeSuspicion(const fact &news);

} // namespace snipefall
