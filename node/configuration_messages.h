#pragma once

#include <string>

#include "core/configuration_delta.h"
#include "core/outcome.h"

namespace snipefall {

/** Encodes the payload of the response to a configuration pull. */
std::string encodeDelta(const configuration_delta &delta);
outcome<configuration_delta> decodeDelta(const std::string &payload);

} // namespace snipefall
