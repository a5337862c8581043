#pragma once

#include <string>

namespace snipefall {

/** Address and time limits of an http_object_store. */
struct http_object_store_options
{
    std::string address; ///< "ip:port"
    long connectTimeoutMs = 500;
    long timeoutMs = 2000; ///< From the start of a call to its last byte; watches add their own waiting time.
};

} // namespace snipefall
