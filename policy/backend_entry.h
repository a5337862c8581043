#pragma once

#include <cstdint>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/recovery/store_position.h"

namespace snipefall {

/** The registration of a backend server in the platform's store, as last reported by the server. */
struct backend_entry
{
    backend_server_id id;
    service_id service;
    std::string address; ///< "ip:port"
    failure_domain_id domain;
    version_id version;
    unsigned slots = 1; ///< Requests that the server processes concurrently.
    bool draining = false; ///< The server is shutting down and must not receive new requests.
    duration warmUpLeft{}; ///< Remaining warm-up time; the server is slower than usual until it has passed.
    /** Unix time in ms at which the server process started, 0 if not reported; distinguishes runs, because a restarted server may keep its id. */
    std::uint64_t startedMs = 0;
    std::uint64_t sequence = 0; ///< Report number; increases with each report of the same run of the server.
    store_position revision; ///< Revision of the platform's store at the last change of this entry.
};

} // namespace snipefall
