#include "policy/admission_queue.h"

#include <algorithm>

#include "core/invariant.h"

namespace snipefall {

admission_queue::admission_queue(std::size_t maxQueued, duration firstServiceTime)
    : m_maxQueued(maxQueued)
    , m_serviceTime(std::max(firstServiceTime, duration(1)))
{
}

duration admission_queue::expectedWait(const caller_id &caller, std::uint32_t permits) const
{
    if (m_running + m_waiting < permits) {
        return duration::zero();
    }
    const auto ownState = m_callers.find(caller);
    const double ownUs = ownState == m_callers.end() ? 0.0 : ownState->second.waitingUs();
    // Round robin gives every other caller at most the service time that this caller has waiting, plus one query.
    double aheadUs = ownUs + 0.5 * m_running * m_serviceTime.meanUs(); // On average, half of the service time of a running query is left.
    for (const auto &other : m_round) {
        if (other->first != caller) {
            aheadUs += std::min(other->second.waitingUs(), ownUs + other->second.cost.meanUs());
        }
    }
    return duration(static_cast<duration::rep>(aheadUs / permits));
}

admission_result admission_queue::offer(const queued_query &query, std::uint32_t permits, time_point now)
{
    admission_result result;
    if (permits == 0) {
        return result;
    }
    result.expectedWait = expectedWait(query.caller, permits);
    const auto known = m_callers.find(query.caller);
    auto &cost = known == m_callers.end() ? m_serviceTime : known->second.cost;
    if (now + cost.upperEstimate() > query.deadline) {
        cost.decay(); // Refused queries give no new samples, so without decay one slow period could make the queue refuse all queries forever.
        return result;
    }
    if (now + result.expectedWait + cost.upperEstimate() > query.deadline) {
        return result;
    }
    if (m_waiting >= m_maxQueued) {
        result.displaced = displace(query.caller);
        if (!result.displaced) {
            return result;
        }
    }
    const auto [caller, added] = m_callers.try_emplace(query.caller, caller_state{{}, service_time_estimate(m_serviceTime.mean()), 0.0});
    if (caller->second.queue.empty()) {
        m_round.push_back(caller);
    }
    caller->second.queue.push_back(query);
    ++m_waiting;
    result.admitted = true;
    return result;
}

std::optional<queued_query> admission_queue::displace(const caller_id &newcomer)
{
    const auto longest =
        std::max_element(m_round.begin(), m_round.end(), [](const auto &a, const auto &b) { return a->second.queue.size() < b->second.queue.size(); });
    if (longest == m_round.end()) {
        return std::nullopt;
    }
    const auto ownState = m_callers.find(newcomer);
    const auto ownWaiting = ownState == m_callers.end() ? 0 : ownState->second.queue.size();
    const auto caller = *longest;
    if (caller->second.queue.size() <= ownWaiting + 1) {
        return std::nullopt;
    }
    auto query = caller->second.queue.back();
    caller->second.queue.pop_back();
    --m_waiting;
    return query;
}

admission_queue::caller_map::iterator admission_queue::advanceRound()
{
    while (m_round.front()->second.deficitUs <= 0.0) {
        if (m_quantaLeft == 0) {
            // Every caller of a round gets the same quantum, the mean service time, which is enough to start about one query.
            m_quantaLeft = m_round.size();
            m_quantumUs = m_serviceTime.meanUs();
        }
        --m_quantaLeft;
        m_round.front()->second.deficitUs += m_quantumUs;
        m_round.splice(m_round.end(), m_round, m_round.begin());
    }
    return m_round.front();
}

admission_dispatch admission_queue::next(time_point now)
{
    admission_dispatch result;
    while (!m_round.empty() && !result.start) {
        const auto caller = advanceRound();
        auto query = std::move(caller->second.queue.front());
        caller->second.queue.pop_front();
        --m_waiting;
        if (now + caller->second.cost.upperEstimate() > query.deadline) {
            result.refused.push_back(std::move(query));
        } else {
            caller->second.deficitUs -= caller->second.cost.meanUs();
            ++m_running;
            result.start = std::move(query);
        }
        if (caller->second.queue.empty()) {
            leaveRound(caller);
        }
    }
    return result;
}

void admission_queue::leaveRound(caller_map::iterator caller)
{
    m_round.remove(caller);
    caller->second.deficitUs = std::min(caller->second.deficitUs, 0.0); // An idle caller must not accumulate credit.
    if (m_callers.size() > MAX_REMEMBERED_CALLERS) {
        m_callers.erase(caller);
    }
}

void admission_queue::finished(const caller_id &caller, duration serviceTime)
{
    SNIPEFALL_INVARIANT(m_running > 0, "finished() was called more often than queries were started");
    --m_running;
    m_serviceTime.add(serviceTime);
    const auto found = m_callers.find(caller);
    if (found != m_callers.end()) {
        found->second.cost.add(serviceTime);
    }
}

bool admission_queue::cancel(std::uint64_t id)
{
    for (const auto &caller : m_round) {
        auto &queue = caller->second.queue;
        const auto found = std::find_if(queue.begin(), queue.end(), [id](const queued_query &query) { return query.id == id; });
        if (found == queue.end()) {
            continue;
        }
        queue.erase(found);
        --m_waiting;
        if (queue.empty()) {
            leaveRound(caller);
        }
        return true;
    }
    return false;
}

} // namespace snipefall
