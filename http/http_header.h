#pragma once

#include <string>

namespace snipefall {

/** One header field of a message. */
struct http_header
{
    std::string name;
    std::string value;
};

} // namespace snipefall
