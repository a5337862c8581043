#include "tier/tier_settings.h"

#include "core/setting_values.h"
#include "core/settings_table.h"

namespace snipefall {

const settings_table &tier_settings::table()
{
    static const settings_table s_table(
        "snipefalld",
        {
            {"boot", setting_kind::file, "", true, 0, 0, "Settings file of the platform with this node's addresses and the bounds in force."},
            {"metrics-port", setting_kind::integer, "0", false, 0, 65535, "Port for metrics on the address of callers; 0 serves none."},
            {"caller-path-ms", setting_kind::integer, "10", false, 0, 1000, "Time that a request and its answer spend on the network between caller and node."},
            {"directory-ttl-ms",
             setting_kind::integer,
             "2000",
             false,
             100,
             60000,
             "How long callers keep an answer of the directory; the platform's bound goes first."},
            {"max-requests", setting_kind::integer, "512", false, 8, 65536, "Requests of callers that run at the same time; more are refused."},
            {"connection-memory-mb",
             setting_kind::integer,
             "0",
             false,
             0,
             65536,
             "Memory that connections may hold for clients and servers; beyond it clients that read or send slowly are closed. 0: half of what the machine has "
             "besides 24 MB."},
            {"log-level", setting_kind::text, "info", false, 0, 0, "Lowest level of log lines: debug, info, warning or error."},
            {"check", setting_kind::flag, "false", false, 0, 0, "Check the settings and exit."},
            {"reference", setting_kind::flag, "false", false, 0, 0, "Print the reference page of the settings and exit."},
        });
    return s_table;
}

tier_settings tier_settings::fromValues(const setting_values &values)
{
    tier_settings settings;
    settings.bootFile = values.text("boot");
    settings.metricsPort = static_cast<unsigned short>(values.integer("metrics-port"));
    settings.callerRoundTrip = std::chrono::milliseconds(values.integer("caller-path-ms"));
    settings.directoryTtl = std::chrono::milliseconds(values.integer("directory-ttl-ms"));
    settings.connectionMemoryMb = static_cast<std::size_t>(values.integer("connection-memory-mb"));
    settings.maxRequests = static_cast<std::size_t>(values.integer("max-requests"));
    return settings;
}

} // namespace snipefall
