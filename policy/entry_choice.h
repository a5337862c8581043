#pragma once

#include <string>
#include <vector>

#include "core/ids.h"

namespace snipefall {

/** A node as a candidate for the directory's answers. */
struct entry_candidate
{
    std::string callerAddress; ///< "ip:port"
    failure_domain_id domain;
};

/** Most addresses in one answer of the directory; callers use no more. */
constexpr std::size_t MAX_ENTRIES = 64;

/** The addresses that a caller in @p callerDomain gets: those of its own failure domain first, so that they are kept when there are too many. */
std::vector<std::string> chooseEntries(const std::vector<entry_candidate> &candidates, const failure_domain_id &callerDomain);

} // namespace snipefall
