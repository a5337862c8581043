#include "policy/organisations/usage_ledger.h"

namespace snipefall {

void usage_ledger::takeBack(usage_window window, const organisation_id &organisation)
{
    const auto counts = m_own.find(window);
    if (counts == m_own.end()) {
        return;
    }
    const auto count = counts->second.find(organisation);
    if (count != counts->second.end() && count->second > 0) {
        --count->second;
    }
}

void usage_ledger::apply(const node_id &sender, const usage_message &message)
{
    if (message.window < m_oldest || message.window.value() >= m_oldest.value() + 2 * RETAINED_WINDOWS) {
        return;
    }
    auto &counts = m_reported[message.window][{sender, message.run}];
    for (const auto &[organisation, count] : message.counts) {
        reported_count &known = counts[organisation];
        if (message.sequence >= known.sequence) {
            known = {message.sequence, count};
        }
    }
}

void usage_ledger::discardOld(usage_window current)
{
    m_oldest = usage_window(current.value() >= RETAINED_WINDOWS ? current.value() - RETAINED_WINDOWS + 1 : 0);
    const auto isOld = [this](const auto &item) { return item.first < m_oldest; };
    std::erase_if(m_own, isOld);
    std::erase_if(m_reported, isOld);
}

usage_counts usage_ledger::total(usage_window window) const
{
    usage_counts sum;
    if (const auto own = m_own.find(window); own != m_own.end()) {
        sum = own->second;
    }
    if (const auto reported = m_reported.find(window); reported != m_reported.end()) {
        for (const auto &[node, counts] : reported->second) {
            for (const auto &[organisation, reportedCount] : counts) {
                sum[organisation] += reportedCount.count;
            }
        }
    }
    std::erase_if(sum, [](const auto &item) { return item.second == 0; });
    return sum;
}

} // namespace snipefall
