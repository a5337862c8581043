#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/ids.h"

namespace snipefall {

/** A node that the directory may name to callers as an entry node. */
struct entry_node_candidate
{
    std::string callerAddress; ///< "ip:port"
    failure_domain_id domain;
    double cores = 0; ///< Processor cores available to the node; 0 if unknown.
};

/** The largest number of addresses in one answer of the directory; callers use no more. */
constexpr std::size_t MAX_DIRECTORY_ADDRESSES = 64;

/**
 * Selects the entry nodes that the directory names to callers, and returns their addresses.
 *
 * Nodes with many cores in the failure domains of most backend servers answer queries sooner and with less traffic between failure domains. Fewer entry nodes
 * with more traffic each also reuse connections more often and have better latency estimates. Other nodes are therefore left out as long as enough nodes
 * remain. @p serversByDomain is the number of backend servers in each failure domain.
 */
std::vector<std::string> selectEntryNodes(const std::vector<entry_node_candidate> &candidates, const std::map<failure_domain_id, std::size_t> &serversByDomain);

} // namespace snipefall
