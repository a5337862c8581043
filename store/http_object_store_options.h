#pragma once

#include <string>

namespace snipefall {

/** Address and timeouts of an http_object_store. */
struct http_object_store_options
{
    std::string address; ///< "ip:port"
    long connectTimeoutMs = 500;
    long timeoutMs = 2000; ///< From the start of a call to the last byte of its response; a watch adds its own timeout.
};

} // namespace snipefall
