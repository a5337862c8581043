#include "policy/fault_detector.h"

#include <algorithm>
#include <utility>

#include "policy/version_comparison.h"

namespace snipefall {

namespace {

/** ln(10^6). */
constexpr double NODE_LOG_THRESHOLD = 13.8;
constexpr std::int64_t FAST_WINDOW_S = 2;
constexpr std::int64_t SLOW_WINDOW_S = 10;
/** A window with fewer answers of the old version is compared with the baseline. */
constexpr std::uint64_t MIN_WINDOW_ANSWERS = 50;
/** With fewer seconds the dispersion isn't estimated. */
constexpr double MIN_DISPERSION_SECONDS = 10;
/** Slow start may take a server for warm early; the new version's latency isn't compared until this long after its last cold answer, */
constexpr duration WARM_UP_MARGIN = std::chrono::seconds(2);
/** but only in the first seconds of a move, so that one restarting server doesn't hide the latency of all others. */
constexpr duration MAX_WARM_UP = std::chrono::seconds(15);

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
    // Pearson's statistic over its degrees of freedom.
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
        state.oldEarlier.merge(state.step.oldVersion);
        state.step = {};
        // Answers from before the step must not count as recent answers at the new share.
        state.slices = {};
        state.newLatency = {};
    }
}

void fault_detector::record(const sub_answer_sample &sample)
{
    sub_answer_sample counted = sample;
    if (sample.newVersion) {
        m_firstNew = m_firstNew.value_or(sample.at);
        m_lastCold = sample.warm ? m_lastCold : sample.at;
        counted.warm = sample.warm && (sample.at - m_lastCold >= WARM_UP_MARGIN || sample.at - *m_firstNew >= MAX_WARM_UP);
    }
    add(m_routes[sample.route], counted);
    add(m_routes[ALL_ROUTES], counted);
}

void fault_detector::add(route_state &state, const sub_answer_sample &sample)
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
        chooseLatency(state, sample);
    }
}

void fault_detector::chooseLatency(route_state &state, const sub_answer_sample &sample)
{
    latency_choice &choice = state.newLatency;
    const std::int64_t block = sample.at.time_since_epoch() / LATENCY_BLOCK;
    if (block == choice.block) {
        ++choice.seen;
        choice.latency = m_random() % choice.seen == 0 ? sample.latency : choice.latency;
        return;
    }
    countChosen(state);
    choice = {block, 1, sample.latency};
}

void fault_detector::countChosen(route_state &state)
{
    const latency_choice chosen = std::exchange(state.newLatency, {});
    if (chosen.seen == 0) {
        return;
    }
    const std::int64_t second = chosen.block * LATENCY_BLOCK / std::chrono::seconds(1);
    slice &past = state.slices[static_cast<std::size_t>(second) % SLICES];
    state.step.newVersion.latency.add(chosen.latency);
    if (past.second == second) {
        past.counts.newVersion.latency.add(chosen.latency);
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

route_counts fault_detector::comparable(route_counts counts, const route_state &state) const
{
    if (counts.oldVersion.answers < MIN_WINDOW_ANSWERS) {
        counts.oldVersion = state.oldEarlier;
        counts.oldVersion.merge(state.step.oldVersion);
        // The sum of all routes gives the steadier estimate; dispersion grows in proportion to the number of answers.
        const dispersion_sums &all = m_routes.at(ALL_ROUTES).dispersion;
        const double share = all.answers > 0 ? state.dispersion.answers / all.answers : 0;
        counts.excessDispersion = std::max(state.dispersion.excess(), all.excess() * share);
    }
    return counts;
}

const std::optional<bad_version_fact> &fault_detector::check(time_point now)
{
    if (m_found) {
        return m_found;
    }
    for (auto &[route, state] : m_routes) {
        if (state.newLatency.block < now.time_since_epoch() / LATENCY_BLOCK) {
            countChosen(state);
        }
    }
    counts_by_route fast;
    counts_by_route slow;
    counts_by_route step;
    for (const auto &[route, state] : m_routes) {
        fast[route] = comparable(window(state, now, FAST_WINDOW_S), state);
        slow[route] = comparable(window(state, now, SLOW_WINDOW_S), state);
        step[route] = comparable(state.step, state);
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
        result.step[route] = comparable(state.step, state);
        result.recent[route] = comparable(window(state, now, SLOW_WINDOW_S), state);
    }
    return result;
}

} // namespace snipefall
