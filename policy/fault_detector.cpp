#include "policy/fault_detector.h"

#include "policy/version_comparison.h"

namespace snipefall {

namespace {

/** ln(10^6). */
constexpr double NODE_LOG_THRESHOLD = 13.8;
constexpr std::int64_t FAST_WINDOW_S = 2;
constexpr std::int64_t SLOW_WINDOW_S = 10;
/** A window with fewer answers of the old version is compared with the baseline. */
constexpr std::uint64_t MIN_WINDOW_ANSWERS = 50;

std::int64_t secondOf(time_point at)
{
    return std::chrono::duration_cast<std::chrono::seconds>(at.time_since_epoch()).count();
}

} // namespace

fault_detector::fault_detector(const move_record &record)
    : m_service(record.service)
    , m_to(record.to)
    , m_moveId(record.moveId)
    , m_sharePercent(record.sharePercent)
{
}

void fault_detector::setShare(std::uint32_t sharePercent)
{
    if (sharePercent == m_sharePercent) {
        return;
    }
    m_sharePercent = sharePercent;
    for (auto &[route, state] : m_routes) {
        if (state.step.oldVersion.answers >= MIN_WINDOW_ANSWERS) {
            state.oldEarlier = state.step.oldVersion;
        } else {
            state.oldEarlier.merge(state.step.oldVersion);
        }
        state.step = {};
        // Answers from before the step must not count as recent answers at the new share.
        state.slices = {};
    }
}

void fault_detector::record(const sub_answer_sample &sample)
{
    add(m_routes[sample.route], sample);
    add(m_routes[ALL_ROUTES], sample);
}

void fault_detector::add(route_state &state, const sub_answer_sample &sample)
{
    const std::int64_t second = secondOf(sample.at);
    slice &current = state.slices[static_cast<std::size_t>(second) % SLICES];
    if (current.second != second) {
        current = {second, {}};
    }
    for (route_counts *counts : {&state.step, &current.counts}) {
        version_counts &version = sample.newVersion ? counts->newVersion : counts->oldVersion;
        ++version.answers;
        if (sample.failed) {
            ++version.errors;
        } else if (sample.warm) {
            version.latency.add(sample.latency);
        }
    }
}

route_counts fault_detector::window(const route_state &state, time_point now, std::int64_t seconds)
{
    route_counts sum;
    const std::int64_t last = secondOf(now);
    for (const slice &part : state.slices) {
        if (part.second >= 0 && part.second <= last && part.second > last - seconds) {
            sum.merge(part.counts);
        }
    }
    return sum;
}

version_counts fault_detector::baseline(const route_state &state)
{
    version_counts sum = state.oldEarlier;
    sum.merge(state.step.oldVersion);
    return sum;
}

route_counts fault_detector::comparable(const route_state &state, time_point now, std::int64_t seconds)
{
    route_counts counts = window(state, now, seconds);
    if (counts.oldVersion.answers < MIN_WINDOW_ANSWERS) {
        counts.oldVersion = baseline(state);
    }
    return counts;
}

const std::optional<bad_version_fact> &fault_detector::check(time_point now)
{
    if (m_found) {
        return m_found;
    }
    counts_by_route fast;
    counts_by_route slow;
    counts_by_route step;
    for (const auto &[route, state] : m_routes) {
        fast[route] = comparable(state, now, FAST_WINDOW_S);
        slow[route] = comparable(state, now, SLOW_WINDOW_S);
        step[route] = {baseline(state), state.step.newVersion};
    }
    for (const counts_by_route *routes : {&fast, &slow, &step}) {
        const comparison_evidence evidence = compareRoutes(*routes);
        if (evidence.logEvidence >= NODE_LOG_THRESHOLD) {
            m_found = bad_version_fact{m_service, m_to, m_moveId, evidence.finding};
            break;
        }
    }
    return m_found;
}

move_observations fault_detector::observations(time_point now) const
{
    move_observations result{m_moveId, m_sharePercent, {}, {}};
    for (const auto &[route, state] : m_routes) {
        result.step[route] = {baseline(state), state.step.newVersion};
        result.recent[route] = comparable(state, now, SLOW_WINDOW_S);
    }
    return result;
}

} // namespace snipefall
