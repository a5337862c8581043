#include "policy/entry_choice.h"

#include <algorithm>
#include <functional>
#include <set>

namespace snipefall {

namespace {

/** Fewer nodes would feel the loss of one too much. */
constexpr std::size_t FEWEST_ENTRIES = 4;
/** The named nodes have to outlast the loss of a failure domain. */
constexpr std::size_t FEWEST_DOMAINS = 2;
/** Nodes and failure domains count as strong and near at this part of the greatest value. */
constexpr double STRONG_PART = 0.5;

using entry_test = std::function<bool(const entry_candidate &)>;

bool enough(const std::vector<entry_candidate> &entries)
{
    std::set<failure_domain_id> domains;
    for (const entry_candidate &entry : entries) {
        domains.insert(entry.domain);
    }
    return entries.size() >= FEWEST_ENTRIES && domains.size() >= FEWEST_DOMAINS;
}

/** Keeps the entries that pass, unless they are too few. */
void narrow(std::vector<entry_candidate> &entries, const entry_test &passes)
{
    std::vector<entry_candidate> kept;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(kept), passes);
    if (enough(kept)) {
        entries = std::move(kept);
    }
}

/** The addresses, at most MAX_ENTRIES of them, evenly from all failure domains. */
std::vector<std::string> addressesOf(const std::vector<entry_candidate> &entries)
{
    std::map<failure_domain_id, std::vector<std::string>> byDomain;
    for (const entry_candidate &entry : entries) {
        byDomain[entry.domain].push_back(entry.callerAddress);
    }
    std::vector<std::string> addresses;
    const std::size_t count = std::min(entries.size(), MAX_ENTRIES);
    for (std::size_t round = 0; addresses.size() < count; ++round) {
        for (const auto &[domain, own] : byDomain) {
            if (round < own.size() && addresses.size() < count) {
                addresses.push_back(own[round]);
            }
        }
    }
    return addresses;
}

} // namespace

std::vector<std::string> chooseEntries(const std::vector<entry_candidate> &candidates, const std::map<failure_domain_id, std::size_t> &serversByDomain)
{
    std::vector<entry_candidate> entries = candidates;
    double strongest = 0;
    for (const entry_candidate &candidate : candidates) {
        strongest = std::max(strongest, candidate.cores);
    }
    narrow(entries, [strongest](const entry_candidate &entry) { return entry.cores >= STRONG_PART * strongest; });
    std::size_t most = 0;
    for (const auto &[domain, servers] : serversByDomain) {
        most = std::max(most, servers);
    }
    narrow(entries, [&](const entry_candidate &entry) {
        const auto found = serversByDomain.find(entry.domain);
        return found != serversByDomain.end() && static_cast<double>(found->second) >= STRONG_PART * static_cast<double>(most);
    });
    return addressesOf(entries);
}

} // namespace snipefall
