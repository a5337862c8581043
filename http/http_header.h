#pragma once

#include <string>

namespace snipefall {

/** One header field of an HTTP message. */
struct http_header
{
    std::string name;
    std::string value;
};

} // namespace snipefall
