#pragma once

#include <string>
#include <vector>

#include "core/outcome.h"
#include "policy/bad_version_fact.h"
#include "policy/fact.h"
#include "policy/move_count_report.h"
#include "policy/move_observations.h"

namespace snipefall {

/** Encodes the payload of a node's response to a peer's request for its observations of a move. */
std::string encodeObservations(const move_observations &observations);
/** Decodes that payload; invalid_argument when it is malformed. */
outcome<move_observations> decodeObservations(const std::string &payload);

/** Encodes a report as messages of at most @p maxBytes each: one, or one for each version if that is too long. */
std::vector<std::string> encodeCountReport(const move_count_report &report, std::size_t maxBytes);
/** Decodes one of these messages; invalid_argument when it is malformed. */
outcome<move_count_report> decodeCountReport(const std::string &payload);

/** Encodes the payload of a gossiped fact of kind bad_version. */
std::string encodeBadVersion(const bad_version_fact &found);
/** Decodes that payload; invalid_argument when it is not a JSON object. */
outcome<bad_version_fact> decodeBadVersion(const std::string &payload);
/** Creates the gossip fact that makes all nodes stop sending requests to the version. */
fact makeBadVersionFact(const bad_version_fact &found);
/** Creates the gossip fact that lets every node record that the move is done. Its payload is like that of a bad_version fact. */
fact makeApprovedVersionFact(const bad_version_fact &approved);

} // namespace snipefall
