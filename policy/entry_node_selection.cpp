#include "policy/entry_node_selection.h"

#include <algorithm>
#include <functional>
#include <set>

namespace snipefall {

namespace {

/** With fewer entry nodes, the loss of one would overload the others. */
constexpr std::size_t MIN_ENTRY_NODES = 4;
/** Entry nodes must remain after the loss of one failure domain. */
constexpr std::size_t MIN_DOMAINS = 2;
/** Nodes with at least this fraction of the largest core count, in failure domains with at least this fraction of the largest server count, are preferred. */
constexpr double PREFERRED_FRACTION = 0.5;

using entry_predicate = std::function<bool(const entry_node_candidate &)>;

bool hasEnoughNodesAndDomains(const std::vector<entry_node_candidate> &entries)
{
    std::set<failure_domain_id> domains;
    for (const entry_node_candidate &entry : entries) {
        domains.insert(entry.domain);
    }
    return entries.size() >= MIN_ENTRY_NODES && domains.size() >= MIN_DOMAINS;
}

/** Removes the entries that don't satisfy the predicate, unless too few would remain. */
void filterUnlessTooFew(std::vector<entry_node_candidate> &entries, const entry_predicate &predicate)
{
    std::vector<entry_node_candidate> kept;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(kept), predicate);
    if (hasEnoughNodesAndDomains(kept)) {
        entries = std::move(kept);
    }
}

/** At most MAX_DIRECTORY_ADDRESSES addresses, taken from the failure domains in turn. */
std::vector<std::string> addressesOf(const std::vector<entry_node_candidate> &entries)
{
    std::map<failure_domain_id, std::vector<std::string>> byDomain;
    for (const entry_node_candidate &entry : entries) {
        byDomain[entry.domain].push_back(entry.callerAddress);
    }
    std::vector<std::string> addresses;
    const std::size_t count = std::min(entries.size(), MAX_DIRECTORY_ADDRESSES);
    for (std::size_t round = 0; addresses.size() < count; ++round) {
        for (const auto &[domain, domainAddresses] : byDomain) {
            if (round < domainAddresses.size() && addresses.size() < count) {
                addresses.push_back(domainAddresses[round]);
            }
        }
    }
    return addresses;
}

} // namespace

std::vector<std::string> selectEntryNodes(const std::vector<entry_node_candidate> &candidates, const std::map<failure_domain_id, std::size_t> &serversByDomain)
{
    std::vector<entry_node_candidate> entries = candidates;
    double maxCores = 0;
    for (const entry_node_candidate &candidate : candidates) {
        maxCores = std::max(maxCores, candidate.cores);
    }
    filterUnlessTooFew(entries, [maxCores](const entry_node_candidate &entry) { return entry.cores >= PREFERRED_FRACTION * maxCores; });
    std::size_t maxServers = 0;
    for (const auto &[domain, servers] : serversByDomain) {
        maxServers = std::max(maxServers, servers);
    }
    filterUnlessTooFew(entries, [&](const entry_node_candidate &entry) {
        const auto found = serversByDomain.find(entry.domain);
        return found != serversByDomain.end() && static_cast<double>(found->second) >= PREFERRED_FRACTION * static_cast<double>(maxServers);
    });
    return addressesOf(entries);
}

} // namespace snipefall
