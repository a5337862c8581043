#include "policy/hop_router.h"

#include <algorithm>

#include "policy/rendezvous.h"

namespace snipefall {

namespace {

struct candidate
{
    const placement_member *member = nullptr;
    std::uint32_t slots = 0; ///< Weight in rendezvous hashing.
};

void addCandidate(std::vector<candidate> &candidates, const hop_question &question, const node_id &node, std::uint32_t slots)
{
    if (slots == 0 || node == question.self || question.avoided.contains(node)) {
        return;
    }
    const auto member = std::find_if(question.live.begin(), question.live.end(), [&node](const placement_member &live) { return live.id == node; });
    if (member != question.live.end()) {
        candidates.push_back({&*member, slots});
    }
}

// Rendezvous hashing by request id, so that retries of a request reach the same permit holder as long as it is live.
double scoreOf(const request_id &request, const candidate &option)
{
    return rendezvousScore(request.str(), option.member->id, option.slots);
}

} // namespace

hop_decision routeHop(const hop_question &question)
{
    if (question.usable.slots > 0) {
        return {hop_kind::serve, std::nullopt};
    }
    if (question.forwarded) {
        return {hop_kind::refuse, std::nullopt};
    }
    std::vector<candidate> candidates;
    if (question.record) {
        for (const auto &entry : question.record->ring()) {
            addCandidate(candidates, question, entry.node, entry.share.slots);
        }
    }
    if (candidates.empty()) {
        for (const auto &member : question.placed) {
            addCandidate(candidates, question, member.id, 1);
        }
    }
    const auto best = std::max_element(candidates.begin(), candidates.end(), [&question](const candidate &a, const candidate &b) {
        return scoreOf(question.request, a) < scoreOf(question.request, b);
    });
    if (best == candidates.end()) {
        return {hop_kind::refuse, std::nullopt};
    }
    return {hop_kind::forward, *best->member};
}

} // namespace snipefall
