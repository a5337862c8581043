#include "policy/answer_totals.h"

namespace snipefall {

void answer_totals::add(const answer_record &record)
{
    ++m_answers;
    m_itemsSeen += record.itemsSeen;
    m_itemsTotal += record.itemsTotal;
    m_firstSubRequests += record.firstSubRequests;
    m_extraSubRequests += record.extraSubRequests;
    m_latency.add(record.latency);
    if (record.itemsTotal > 0) {
        ++m_coverage[record.itemsSeen * 10 / record.itemsTotal];
    }
}

void answer_totals::merge(const answer_totals &other)
{
    m_answers += other.m_answers;
    m_itemsSeen += other.m_itemsSeen;
    m_itemsTotal += other.m_itemsTotal;
    m_firstSubRequests += other.m_firstSubRequests;
    m_extraSubRequests += other.m_extraSubRequests;
    m_latency.merge(other.m_latency);
    for (std::size_t i = 0; i < COVERAGE_BUCKETS; ++i) {
        m_coverage[i] += other.m_coverage[i];
    }
}

json answer_totals::toJson() const
{
    return {{"answers", m_answers},
            {"items_seen", m_itemsSeen},
            {"items_total", m_itemsTotal},
            {"first_sub_requests", m_firstSubRequests},
            {"extra_sub_requests", m_extraSubRequests},
            {"coverage", m_coverage},
            {"latency", m_latency.toJson()}};
}

outcome<answer_totals> answer_totals::fromJson(const json &document)
{
    if (!document.is_object()) {
        return failure{error_code::invalid_argument, "totals are not an object"};
    }
    answer_totals totals;
    totals.m_answers = jsonValue<std::uint64_t>(document, "answers", 0);
    totals.m_itemsSeen = jsonValue<std::uint64_t>(document, "items_seen", 0);
    totals.m_itemsTotal = jsonValue<std::uint64_t>(document, "items_total", 0);
    totals.m_firstSubRequests = jsonValue<std::uint64_t>(document, "first_sub_requests", 0);
    totals.m_extraSubRequests = jsonValue<std::uint64_t>(document, "extra_sub_requests", 0);
    const json coverage = document.value("coverage", json::array());
    if (!coverage.is_array() || coverage.size() != COVERAGE_BUCKETS) {
        return failure{error_code::invalid_argument, "totals need 11 coverage buckets"};
    }
    for (std::size_t i = 0; i < COVERAGE_BUCKETS; ++i) {
        totals.m_coverage[i] = coverage[i].is_number_unsigned() ? coverage[i].get<std::uint64_t>() : 0;
    }
    outcome<latency_histogram> latency = latency_histogram::fromJson(document.value("latency", json::object()));
    if (!latency) {
        return latency.reason();
    }
    totals.m_latency = *latency;
    return totals;
}

} // namespace snipefall
