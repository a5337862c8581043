#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/outcome.h"
#include "policy/organisations/usage_counts.h"
#include "policy/organisations/usage_window.h"

namespace snipefall {

/** What one node has counted in a window so far; later messages of the same run replace earlier ones. */
struct usage_message
{
    incarnation run; ///< Of the node: a node that restarts counts anew.
    std::uint64_t sequence = 0; ///< Orders the messages of a run.
    usage_window window;
    usage_counts counts; ///< All counts of the window, or those of some organisations if one datagram can't hold them.
};

/** Encodes the message as payloads of at most @p maxBytes each, with one organisation at least. */
std::vector<std::string> encodeUsageMessage(const usage_message &message, std::size_t maxBytes);
/** Decodes one of these payloads; invalid_argument if it is malformed. */
outcome<usage_message> decodeUsageMessage(const std::string &payload);

} // namespace snipefall
