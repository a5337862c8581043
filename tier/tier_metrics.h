#pragma once

#include <map>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "core/clock.h"

namespace snipefall {

/** Prometheus counters, gauges and histograms of a node. */
class tier_metrics
{
public:
    tier_metrics();

    void requestEnded(const std::string &route, const std::string &outcome, duration latency);
    void subRequestEnded(const std::string &outcome, bool repeated, duration latency);
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
};

} // namespace snipefall
