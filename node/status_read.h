#pragma once

#include <string>

#include "http/sub_request.h"

namespace snipefall {

/** Returns a request for the status of the backend server at @p address ("ip:port"), with a deadline one second from now. */
sub_request makeStatusRead(const std::string &address);

} // namespace snipefall
