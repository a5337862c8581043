#pragma once

#include <array>
#include <cstdint>

#include "core/json.h"
#include "policy/answer_record.h"
#include "policy/latency_histogram.h"

namespace snipefall {

/** Totals of the answers with the same service, version, snapshot and outcome. Totals of several nodes can be merged. */
class answer_totals
{
public:
    static constexpr std::size_t COVERAGE_BUCKETS = 11; ///< 0-10%, 10-20% ... 90-100%, and exactly 100% of the items.

    void add(const answer_record &record);
    void merge(const answer_totals &other);

    std::uint64_t answers() const { return m_answers; }
    std::uint64_t itemsSeen() const { return m_itemsSeen; }
    std::uint64_t itemsTotal() const { return m_itemsTotal; }
    std::uint64_t firstSubRequests() const { return m_firstSubRequests; }
    std::uint64_t extraSubRequests() const { return m_extraSubRequests; }
    const std::array<std::uint64_t, COVERAGE_BUCKETS> &coverage() const { return m_coverage; }
    const latency_histogram &latency() const { return m_latency; }

    json toJson() const;
    /** Decodes the totals; invalid_argument when the document, its coverage or its latency is malformed. */
    static outcome<answer_totals> fromJson(const json &document);

    bool operator==(const answer_totals &) const = default;

private:
    std::uint64_t m_answers = 0;
    std::uint64_t m_itemsSeen = 0;
    std::uint64_t m_itemsTotal = 0;
    std::uint64_t m_firstSubRequests = 0;
    std::uint64_t m_extraSubRequests = 0;
    std::array<std::uint64_t, COVERAGE_BUCKETS> m_coverage{};
    latency_histogram m_latency;
};

} // namespace snipefall
