#pragma once

#include <memory>
#include <string>

#include "policy/answer_record.h"
#include "store/call_counts.h"
#include "store/call_purpose.h"

namespace prometheus {
class Registry;
}

namespace snipefall {

/** The metrics of a node, in the text format of Prometheus. Thread-safe. */
class node_metrics
{
public:
    node_metrics();
    ~node_metrics();

    /** Counts an answer. The number of label values is bounded, because services come from the configuration. */
    void countAnswer(const answer_record &record);
    void setGauge(const std::string &name, double value);
    void setPlatformCalls(call_purpose purpose, const call_counts &counts);

    /** Returns all metrics in the text exposition format. */
    std::string text() const;

private:
    struct families;

    std::shared_ptr<prometheus::Registry> m_registry;
    std::unique_ptr<families> m_families;
};

} // namespace snipefall
