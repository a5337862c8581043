#pragma once

#include <cstdint>
#include <string>

#include "core/clock.h"
#include "core/ids.h"

namespace snipefall {

/** A backend server as it registered itself. */
struct backend_entry
{
    backend_server_id id;
    service_id service;
    std::string address; ///< "ip:port"
    failure_domain_id domain;
    version_id version;
    unsigned slots = 1; ///< Requests that it processes at the same time.
    bool draining = false; ///< It is about to leave and gets no new request.
    duration warmUpLeft{}; ///< How long it stays cold.
    std::uint64_t startedMs = 0; ///< Unix time of its start, 0 when not stated; an id may be used again after a restart.
    std::uint64_t sequence = 0; ///< Grows with each report of one run.
    object_version revision; ///< Of the platform's store at this entry's last change.
};

} // namespace snipefall
