#pragma once

#include <map>
#include <string>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "core/clock.h"
#include "policy/organisations/organisation.h"

namespace snipefall {

/** Prometheus counters, gauges and histograms of a node. */
class tier_metrics
{
public:
    tier_metrics();

    void requestEnded(const std::string &route, const std::string &outcome, duration latency);
    void subRequestEnded(const std::string &outcome, bool repeated, duration latency);
    /** Counts a request of an organisation that setOrganisations() has named; others are not counted. */
    void organisationRequestEnded(const organisation_id &organisation, const std::string &outcome);
    /** Sets the organisations that have counters; those of others are dropped, so that their number is bounded by the configuration. */
    void setOrganisations(const std::vector<organisation> &organisations);
    void setGauge(const std::string &name, double value);

    /** All metrics in the Prometheus text format. */
    std::string text() const;

private:
    prometheus::Histogram &requestLatency(const std::string &route);

    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Counter> &m_subRequests;
    prometheus::Family<prometheus::Histogram> &m_requestLatencies;
    prometheus::Family<prometheus::Gauge> &m_state;
    prometheus::Histogram &m_subRequestLatency;
    std::map<std::string, prometheus::Histogram *> m_latencyByRoute;
    prometheus::Family<prometheus::Counter> &m_organisationRequests;
    std::map<organisation_id, std::map<std::string, prometheus::Counter *>> m_countersByOrganisation; ///< By the outcome of the request.
};

} // namespace snipefall
