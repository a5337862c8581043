#include "node/node_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace snipefall {

namespace {

const prometheus::Histogram::BucketBoundaries &latencyBounds()
{
    static const prometheus::Histogram::BucketBoundaries s_bounds{0.005, 0.01, 0.02, 0.04, 0.08, 0.115, 0.16, 0.23, 0.32, 0.64, 1.28, 2.56, 5.12};
    return s_bounds;
}

} // namespace

struct node_metrics::families
{
    explicit families(prometheus::Registry &registry)
        : answers(prometheus::BuildCounter().Name("snipefall_answers_total").Help("Answers and refusals to callers.").Register(registry))
        , latencies(prometheus::BuildHistogram().Name("snipefall_answer_seconds").Help("Time from a request to its answer.").Register(registry))
        , subRequests(prometheus::BuildCounter().Name("snipefall_sub_requests_total").Help("Sub-requests to backend servers.").Register(registry))
        , items(prometheus::BuildCounter().Name("snipefall_items_total").Help("Items of the pinned snapshots, and items that answers saw.").Register(registry))
        , gauges(prometheus::BuildGauge().Name("snipefall_state").Help("State of the node, by name.").Register(registry))
        , platformCalls(prometheus::BuildGauge().Name("snipefall_store_calls").Help("Calls to the platform since the start.").Register(registry))
    {
    }

    prometheus::Family<prometheus::Counter> &answers;
    prometheus::Family<prometheus::Histogram> &latencies;
    prometheus::Family<prometheus::Counter> &subRequests;
    prometheus::Family<prometheus::Counter> &items;
    prometheus::Family<prometheus::Gauge> &gauges;
    prometheus::Family<prometheus::Gauge> &platformCalls;
};

node_metrics::node_metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_families(std::make_unique<families>(*m_registry))
{
}

node_metrics::~node_metrics() = default;

void node_metrics::countAnswer(const answer_record &record)
{
    const std::string service = record.service.str();
    m_families->answers.Add({{"service", service}, {"outcome", std::string(toString(record.outcome))}}).Increment();
    m_families->latencies.Add({{"service", service}}, latencyBounds()).Observe(std::chrono::duration<double>(record.latency).count());
    m_families->subRequests.Add({{"service", service}, {"kind", "first"}}).Increment(static_cast<double>(record.firstSubRequests));
    m_families->subRequests.Add({{"service", service}, {"kind", "extra"}}).Increment(static_cast<double>(record.extraSubRequests));
    m_families->items.Add({{"service", service}, {"kind", "seen"}}).Increment(static_cast<double>(record.itemsSeen));
    m_families->items.Add({{"service", service}, {"kind", "total"}}).Increment(static_cast<double>(record.itemsTotal));
}

void node_metrics::setGauge(const std::string &name, double value)
{
    m_families->gauges.Add({{"name", name}}).Set(value);
}

void node_metrics::setPlatformCalls(call_purpose purpose, const call_counts &counts)
{
    const std::string name = toString(purpose);
    const std::pair<const char *, std::uint64_t> values[] = {{"read", counts.reads},
                                                             {"write", counts.writes},
                                                             {"failure", counts.failures},
                                                             {"over_budget", counts.refusedOverBudget},
                                                             {"backing_off", counts.refusedDuringBackoff}};
    for (const auto &[kind, value] : values) {
        m_families->platformCalls.Add({{"purpose", name}, {"kind", kind}}).Set(static_cast<double>(value));
    }
}

std::string node_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace snipefall
