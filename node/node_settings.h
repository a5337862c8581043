#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/outcome.h"

namespace snipefall {

class setting_values;
class settings_table;

/** The validated settings of a node. */
struct node_settings
{
    node_id id;
    failure_domain_id domain;
    std::string callerAddress; ///< "ip:port" for callers.
    std::string operatorAddress; ///< "ip:port" for operators, metrics and health.
    std::string peerAddress; ///< "ip:port", UDP and TCP, for other nodes.
    std::string platformAddress; ///< "ip:port" of the object API.
    std::vector<std::string> seedPeers;
    std::string peerKeyFile;
    std::string tokenFile;
    std::string certificateFile;
    std::string privateKeyFile;
    unsigned ioThreads = 2;
    unsigned maxRequests = 256;
    std::chrono::milliseconds statusInterval{500};
    std::chrono::milliseconds configurationInterval{1000};
    std::chrono::milliseconds accountInterval{2000};
    std::chrono::milliseconds drainMargin{1000};

    /** The table that describes all settings of snipefalld. */
    static const settings_table &table();

    static node_settings fromValues(const setting_values &values);
};

} // namespace snipefall
