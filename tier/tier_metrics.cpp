#include "tier/tier_metrics.h"

#include <set>

#include <prometheus/text_serializer.h>

namespace snipefall {

namespace {

/** Routes with their own latency histogram; later ones share the histogram of the label "other". */
constexpr std::size_t MAX_ROUTE_HISTOGRAMS = 50;

const prometheus::Histogram::BucketBoundaries &latencyBuckets()
{
    static const prometheus::Histogram::BucketBoundaries s_buckets{0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 5.12};
    return s_buckets;
}

} // namespace

tier_metrics::tier_metrics()
    : m_requests(prometheus::BuildCounter().Name("snipefall_requests_total").Help("Requests of callers by their outcome.").Register(m_registry))
    , m_subRequests(
          prometheus::BuildCounter().Name("snipefall_sub_requests_total").Help("Sub-requests to backend servers by their outcome.").Register(m_registry))
    , m_requestLatencies(prometheus::BuildHistogram().Name("snipefall_request_seconds").Help("Time until a request was answered.").Register(m_registry))
    , m_state(prometheus::BuildGauge().Name("snipefall_state").Help("What the node believes at the moment.").Register(m_registry))
    , m_subRequestLatency(prometheus::BuildHistogram()
                              .Name("snipefall_sub_request_seconds")
                              .Help("Time until a sub-request was answered.")
                              .Register(m_registry)
                              .Add({}, latencyBuckets()))
    , m_organisationRequests(prometheus::BuildCounter()
                                 .Name("snipefall_organisation_requests_total")
                                 .Help("Requests by the organisation of their caller and their outcome.")
                                 .Register(m_registry))
{
}

void tier_metrics::requestEnded(const std::string &route, const std::string &outcome, duration latency)
{
    m_requests.Add({{"outcome", outcome}}).Increment();
    requestLatency(route).Observe(std::chrono::duration<double>(latency).count());
}

void tier_metrics::subRequestEnded(const std::string &outcome, bool repeated, duration latency)
{
    m_subRequests.Add({{"outcome", outcome}, {"repeated", repeated ? "yes" : "no"}}).Increment();
    m_subRequestLatency.Observe(std::chrono::duration<double>(latency).count());
}

void tier_metrics::organisationRequestEnded(const organisation_id &organisation, const std::string &outcome)
{
    const auto found = m_countersByOrganisation.find(organisation);
    if (found == m_countersByOrganisation.end()) {
        return;
    }
    prometheus::Counter *&counter = found->second[outcome];
    if (!counter) {
        counter = &m_organisationRequests.Add({{"organisation", organisation.str()}, {"outcome", outcome}});
    }
    counter->Increment();
}

void tier_metrics::setOrganisations(const std::vector<organisation> &organisations)
{
    std::set<organisation_id> known;
    for (const organisation &item : organisations) {
        known.insert(item.id);
        m_countersByOrganisation.try_emplace(item.id);
    }
    std::erase_if(m_countersByOrganisation, [&](const auto &item) {
        if (known.contains(item.first)) {
            return false;
        }
        for (const auto &[outcome, counter] : item.second) {
            m_organisationRequests.Remove(counter);
        }
        return true;
    });
}

void tier_metrics::setGauge(const std::string &name, double value)
{
    m_state.Add({{"what", name}}).Set(value);
}

prometheus::Histogram &tier_metrics::requestLatency(const std::string &route)
{
    const std::string label = m_latencyByRoute.size() < MAX_ROUTE_HISTOGRAMS || m_latencyByRoute.contains(route) ? route : std::string("other");
    auto found = m_latencyByRoute.find(label);
    if (found == m_latencyByRoute.end()) {
        found = m_latencyByRoute.emplace(label, &m_requestLatencies.Add({{"route", label}}, latencyBuckets())).first;
    }
    return *found->second;
}

std::string tier_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace snipefall
