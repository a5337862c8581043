#include "policy/fault_detector.h"

#include <algorithm>
#include <utility>

#include "policy/version_comparison.h"

namespace snipefall {

namespace {

/** ln(10^6): stricter than the threshold of move_controller, because every node tests several times a second. */
constexpr double NODE_LOG_THRESHOLD = 13.8;
constexpr std::int64_t FAST_WINDOW_S = 2;
constexpr std::int64_t SLOW_WINDOW_S = 10;
/** Counts with fewer answers of the old version are compared with its answers during the whole move instead. */
constexpr std::uint64_t MIN_WINDOW_ANSWERS = 50;
/** The dispersion of errors between seconds isn't estimated from fewer seconds. */
constexpr double MIN_DISPERSION_SECONDS = 10;
/** Slow start may end before a server is warm, so the new version's latencies are counted only from this time after its last answer from a cold server. */
constexpr duration WARM_UP_MARGIN = std::chrono::seconds(2);
/** WARM_UP_MARGIN applies only for this time after the new version's first answer, so that one restarting server doesn't exclude the others' latencies. */
constexpr duration MAX_WARM_UP = std::chrono::seconds(15);

std::int64_t secondOf(time_point at)
{
    return std::chrono::duration_cast<std::chrono::seconds>(at.time_since_epoch()).count();
}

} // namespace

fault_detector::fault_detector(const move_record &record)
    : m_service(record.service)
    , m_newVersion(record.to)
    , m_moveId(record.moveId)
    , m_sharePercent(record.sharePercent)
{
}

void fault_detector::dispersion_sums::add(const slice &past)
{
    if (past.second < 0 || past.counts.oldVersion.answers == 0) {
        return;
    }
    const auto pastAnswers = static_cast<double>(past.counts.oldVersion.answers);
    const auto pastErrors = static_cast<double>(past.counts.oldVersion.errors);
    ++seconds;
    answers += pastAnswers;
    errors += pastErrors;
    squaredErrorsPerAnswer += pastErrors * pastErrors / pastAnswers;
}

double fault_detector::dispersion_sums::excess() const
{
    if (seconds < MIN_DISPERSION_SECONDS || errors == 0) {
        return 0;
    }
    // Pearson's chi-squared statistic divided by its degrees of freedom estimates variance over mean.
    return (squaredErrorsPerAnswer * answers / errors - errors) / (seconds - 1) - 1;
}

void fault_detector::setShare(std::uint32_t sharePercent)
{
    if (sharePercent == m_sharePercent) {
        return;
    }
    m_sharePercent = sharePercent;
    for (auto &[route, state] : m_routes) {
        for (const slice &past : state.slices) {
            state.dispersion.add(past);
        }
        state.oldVersionBefore.merge(state.step.oldVersion);
        state.step = {};
        // The sliding window must not hold answers from before the step, which were given at another share.
        state.slices = {};
        state.newVersionLatency = {};
    }
}

void fault_detector::record(const sub_request_sample &sample)
{
    sub_request_sample counted = sample;
    if (sample.newVersion) {
        m_firstNewAt = m_firstNewAt.value_or(sample.at);
        m_lastColdAt = sample.warm ? m_lastColdAt : sample.at;
        counted.warm = sample.warm && (sample.at - m_lastColdAt >= WARM_UP_MARGIN || sample.at - *m_firstNewAt >= MAX_WARM_UP);
    }
    if (counted.newConnection) {
        add(m_routes[newConnectionsKey(sample.route)], counted);
        counted.warm = false;
    }
    add(m_routes[sample.route], counted);
    add(m_routes[ALL_ROUTES], counted);
}

void fault_detector::add(route_state &state, const sub_request_sample &sample)
{
    const std::int64_t second = secondOf(sample.at);
    slice &current = state.slices[static_cast<std::size_t>(second) % SLICES];
    if (current.second != second) {
        state.dispersion.add(current);
        current = {second, {}};
    }
    for (route_counts *counts : {&state.step, &current.counts}) {
        version_counts &version = sample.newVersion ? counts->newVersion : counts->oldVersion;
        ++version.answers;
        if (sample.failed) {
            ++version.errors;
        } else if (sample.warm && !sample.newVersion) {
            version.latency.add(sample.latency);
        }
    }
    if (sample.newVersion && !sample.failed && sample.warm) {
        sampleLatency(state, sample);
    }
}

void fault_detector::sampleLatency(route_state &state, const sub_request_sample &sample)
{
    latency_sample &reservoir = state.newVersionLatency;
    const std::int64_t period = sample.at.time_since_epoch() / LATENCY_SAMPLING_PERIOD;
    if (period == reservoir.period) {
        ++reservoir.seen;
        reservoir.latency = m_random() % reservoir.seen == 0 ? sample.latency : reservoir.latency;
        return;
    }
    countSampledLatency(state);
    reservoir = {period, 1, sample.latency};
}

void fault_detector::countSampledLatency(route_state &state)
{
    const latency_sample sampled = std::exchange(state.newVersionLatency, {});
    if (sampled.seen == 0) {
        return;
    }
    const std::int64_t second = sampled.period * LATENCY_SAMPLING_PERIOD / std::chrono::seconds(1);
    slice &past = state.slices[static_cast<std::size_t>(second) % SLICES];
    state.step.newVersion.latency.add(sampled.latency);
    if (past.second == second) {
        past.counts.newVersion.latency.add(sampled.latency);
    }
}

route_counts fault_detector::recentCounts(const route_state &state, time_point now, std::int64_t seconds)
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

route_counts fault_detector::withBaseline(route_counts counts, const route_state &state) const
{
    if (counts.oldVersion.answers < MIN_WINDOW_ANSWERS) {
        counts.oldVersion = state.oldVersionBefore;
        counts.oldVersion.merge(state.step.oldVersion);
        // The estimate from all routes has less variance than that of one route. It is scaled by the route's part of the answers, as dispersion is
        // proportional to the number of answers.
        const dispersion_sums &allRoutes = m_routes.at(ALL_ROUTES).dispersion;
        const double share = allRoutes.answers > 0 ? state.dispersion.answers / allRoutes.answers : 0;
        counts.excessDispersion = std::max(state.dispersion.excess(), allRoutes.excess() * share);
    }
    return counts;
}

const std::optional<bad_version_fact> &fault_detector::check(time_point now)
{
    if (m_found) {
        return m_found;
    }
    for (auto &[route, state] : m_routes) {
        if (state.newVersionLatency.period < now.time_since_epoch() / LATENCY_SAMPLING_PERIOD) {
            countSampledLatency(state);
        }
    }
    counts_by_route fastWindow;
    counts_by_route slowWindow;
    counts_by_route step;
    for (const auto &[route, state] : m_routes) {
        fastWindow[route] = withBaseline(recentCounts(state, now, FAST_WINDOW_S), state);
        slowWindow[route] = withBaseline(recentCounts(state, now, SLOW_WINDOW_S), state);
        step[route] = withBaseline(state.step, state);
    }
    for (const counts_by_route *routes : {&fastWindow, &slowWindow, &step}) {
        const comparison_evidence evidence = compareRoutes(*routes);
        if (evidence.logEvidence >= NODE_LOG_THRESHOLD) {
            m_found = bad_version_fact{m_service, m_newVersion, m_moveId, evidence.finding};
            break;
        }
    }
    return m_found;
}

move_observations fault_detector::observations(time_point now) const
{
    move_observations result{m_moveId, m_sharePercent, {}, {}};
    for (const auto &[route, state] : m_routes) {
        result.step[route] = withBaseline(state.step, state);
        result.recent[route] = withBaseline(recentCounts(state, now, SLOW_WINDOW_S), state);
    }
    return result;
}

} // namespace snipefall
