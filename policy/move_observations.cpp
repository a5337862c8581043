#include "policy/move_observations.h"

namespace snipefall {

namespace {

void mergeRoutes(counts_by_route &target, const counts_by_route &source)
{
    for (const auto &[route, counts] : source) {
        target[route].merge(counts);
    }
}

} // namespace

void move_observations::merge(const move_observations &other)
{
    if (other.moveId != moveId || other.sharePercent != sharePercent) {
        return;
    }
    mergeRoutes(step, other.step);
    mergeRoutes(recent, other.recent);
}

std::uint64_t move_observations::newVersionAnswers() const
{
    const auto all = step.find(ALL_ROUTES);
    return all == step.end() ? 0 : all->second.newVersion.answers;
}

std::uint64_t move_observations::newVersionLatencies() const
{
    const auto all = step.find(ALL_ROUTES);
    return all == step.end() ? 0 : all->second.newVersion.latency.total();
}

} // namespace snipefall
