#pragma once

#include <string>

#include "core/configuration_delta.h"
#include "core/outcome.h"

namespace snipefall {

/** Encodes the payload of the response to a configuration pull. */
std::string encodeDelta(const configuration_delta &delta);
/** Decodes the payload of encodeDelta(). Fails with invalid_argument if it is malformed. */
outcome<configuration_delta> decodeDelta(const std::string &payload);

} // namespace snipefall
