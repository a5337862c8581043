#include "policy/placement.h"

#include <algorithm>
#include <set>

#include "policy/rendezvous.h"

namespace snipefall {

namespace {

struct scored_member
{
    double score = 0.0;
    const placement_member *member = nullptr;
};

std::vector<scored_member> rank(const service_id &service, const std::vector<placement_member> &members)
{
    std::vector<scored_member> ranked;
    ranked.reserve(members.size());
    for (const auto &member : members) {
        if (member.weight <= 0.0) {
            continue;
        }
        ranked.push_back({rendezvousScore(service.str(), member.id, member.weight), &member});
    }
    std::sort(ranked.begin(), ranked.end(), [](const scored_member &a, const scored_member &b) {
        return a.score != b.score ? a.score > b.score : a.member->id < b.member->id;
    });
    return ranked;
}

} // namespace

std::size_t permitHolderCount(std::uint32_t slotsPerServer)
{
    return std::min<std::size_t>(MAX_PERMIT_HOLDERS, slotsPerServer);
}

std::vector<placement_member> placeService(const service_id &service, const std::vector<placement_member> &members, std::size_t count)
{
    const auto ranked = rank(service, members);
    std::vector<placement_member> placed;
    std::vector<const placement_member *> sameDomain;
    std::set<failure_domain_id> usedDomains;
    for (const auto &candidate : ranked) {
        if (placed.size() == count) {
            return placed;
        }
        if (usedDomains.insert(candidate.member->domain).second) {
            placed.push_back(*candidate.member);
        } else {
            sameDomain.push_back(candidate.member);
        }
    }
    // There are fewer failure domains than requested members, so some domains get more than one share.
    for (const auto *member : sameDomain) {
        if (placed.size() == count) {
            break;
        }
        placed.push_back(*member);
    }
    return placed;
}

std::vector<std::string> entryAddressesOf(const service_id &service, const std::vector<placement_member> &members, std::uint32_t slotsPerServer)
{
    std::vector<std::string> addresses;
    for (const auto &member : placeService(service, members, permitHolderCount(slotsPerServer))) {
        addresses.push_back(member.callerAddress);
    }
    return addresses;
}

} // namespace snipefall
