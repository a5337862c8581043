#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/ids.h"

namespace snipefall {

/** A node as a candidate for the directory's answers. */
struct entry_candidate
{
    std::string callerAddress; ///< "ip:port"
    failure_domain_id domain;
    double cores = 0; ///< Its share of processor cores; 0 if not known.
};

/** Most addresses in one answer of the directory; callers use no more. */
constexpr std::size_t MAX_ENTRIES = 64;

/**
 * The addresses that callers get.
 *
 * Queries are answered sooner and with fewer bytes between failure domains by strong nodes near the backend servers, and nodes with more traffic each have
 * warmer connections and better estimates. Others are left out as long as enough of those remain. @p serversByDomain counts the backend servers.
 */
std::vector<std::string> chooseEntries(const std::vector<entry_candidate> &candidates, const std::map<failure_domain_id, std::size_t> &serversByDomain);

} // namespace snipefall
