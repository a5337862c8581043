#include "policy/entry_choice.h"

#include <algorithm>

namespace snipefall {

std::vector<std::string> chooseEntries(const std::vector<entry_candidate> &candidates, const failure_domain_id &callerDomain)
{
    std::vector<entry_candidate> ordered = candidates;
    std::stable_partition(ordered.begin(), ordered.end(), [&](const entry_candidate &candidate) { return candidate.domain == callerDomain; });
    std::vector<std::string> addresses;
    for (const entry_candidate &candidate : ordered) {
        if (addresses.size() >= MAX_ENTRIES) {
            break;
        }
        addresses.push_back(candidate.callerAddress);
    }
    return addresses;
}

} // namespace snipefall
