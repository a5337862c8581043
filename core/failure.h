#pragma once

#include <string>

#include "core/error_code.h"

namespace snipefall {

/** The error of an operation that returned no value. */
struct failure
{
    error_code code = error_code::internal;
    std::string message;
};

} // namespace snipefall
