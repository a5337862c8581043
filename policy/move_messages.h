#pragma once

#include <string>

#include "core/outcome.h"
#include "policy/bad_version_fact.h"
#include "policy/fact.h"
#include "policy/move_observations.h"

namespace snipefall {

/** The payload of the answer to a request for a node's observations of a move. */
std::string encodeObservations(const move_observations &observations);
outcome<move_observations> decodeObservations(const std::string &payload);

/** The payload of a fact of kind bad_version. */
std::string encodeBadVersion(const bad_version_fact &found);
outcome<bad_version_fact> decodeBadVersion(const std::string &payload);
/** The fact that stops the version on all nodes. */
fact badVersionNews(const bad_version_fact &found);

} // namespace snipefall
