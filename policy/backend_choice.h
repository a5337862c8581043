#pragma once

#include <string>

#include "core/ids.h"

namespace snipefall {

/** The backend server selected for a sub-request. */
struct backend_choice
{
    backend_server_id id;
    std::string address; ///< "ip:port"
};

} // namespace snipefall
