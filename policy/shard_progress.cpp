#include "policy/shard_progress.h"

#include <algorithm>
#include <bit>

namespace snipefall {

std::optional<std::uint8_t> shard_progress::pickCandidate(std::size_t count) const
{
    const std::uint32_t all = count >= MAX_CANDIDATES ? ~0U : (1U << count) - 1;
    const std::uint32_t usable = all & ~excludedCandidates & ~deniedCandidates;
    std::uint32_t busy = 0;
    for (std::uint8_t index = 0; index < inFlight; ++index) {
        busy |= 1U << running[index].candidate;
    }
    const std::uint32_t idle = usable & ~busy;
    for (const std::uint32_t choice : {idle & ~triedCandidates, idle}) {
        if (choice != 0) {
            return static_cast<std::uint8_t>(std::countr_zero(choice));
        }
    }
    // If two or more replicas are all busy, the server of the oldest sub-request gets a second one. A sole slow replica gets no additional load.
    if (inFlight >= 2 && std::popcount(usable) >= 2) {
        return running[0].candidate;
    }
    return std::nullopt;
}

void shard_progress::addRunning(std::uint32_t position, std::uint8_t candidate)
{
    running[inFlight] = {position, candidate};
    inFlight += 1;
    sends += 1;
    triedCandidates |= 1U << candidate;
    firstSent = true;
    waitsForPermit = false;
}

void shard_progress::removeRunning(std::uint32_t position)
{
    const auto end = running.begin() + inFlight;
    const auto found = std::find_if(running.begin(), end, [position](const running_sub_request &request) { return request.position == position; });
    std::copy(found + 1, end, found);
    inFlight -= 1;
}

} // namespace snipefall
