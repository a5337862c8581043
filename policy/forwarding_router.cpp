#include "policy/forwarding_router.h"

#include <algorithm>

#include "policy/rendezvous.h"

namespace snipefall {

namespace {

struct candidate
{
    const placement_member *member = nullptr;
    std::uint32_t slots = 0; ///< Weight in rendezvous hashing.
};

void addCandidate(std::vector<candidate> &candidates, const forwarding_input &input, const node_id &node, std::uint32_t slots)
{
    if (slots == 0 || node == input.self || input.avoided.contains(node)) {
        return;
    }
    const auto member = std::find_if(input.live.begin(), input.live.end(), [&node](const placement_member &live) { return live.id == node; });
    if (member != input.live.end()) {
        candidates.push_back({&*member, slots});
    }
}

// Rendezvous hashing by request id, so that retries of a request reach the same permit holder as long as it is live.
double rendezvousScoreOf(const request_id &request, const candidate &option)
{
    return rendezvousScore(request.str(), option.member->id, option.slots);
}

} // namespace

forwarding_decision decideForwarding(const forwarding_input &input)
{
    if (input.usable.slots > 0) {
        return {forwarding_action::serve, std::nullopt};
    }
    if (input.forwarded) {
        return {forwarding_action::refuse, std::nullopt};
    }
    std::vector<candidate> candidates;
    if (input.record) {
        for (const auto &entry : input.record->ring()) {
            addCandidate(candidates, input, entry.node, entry.share.slots);
        }
    }
    if (candidates.empty()) {
        for (const auto &member : input.placed) {
            addCandidate(candidates, input, member.id, 1);
        }
    }
    const auto best = std::max_element(candidates.begin(), candidates.end(), [&input](const candidate &a, const candidate &b) {
        return rendezvousScoreOf(input.request, a) < rendezvousScoreOf(input.request, b);
    });
    if (best == candidates.end()) {
        return {forwarding_action::refuse, std::nullopt};
    }
    return {forwarding_action::forward, *best->member};
}

} // namespace snipefall
