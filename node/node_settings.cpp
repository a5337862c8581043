#include "node/node_settings.h"

#include "core/setting_values.h"
#include "core/settings_table.h"

namespace snipefall {

const settings_table &node_settings::table()
{
    static const settings_table s_table(
        "snipefalld",
        {
            {"node-id", setting_kind::text, "", true, 0, 0, "Name of this node, unique among all nodes."},
            {"domain", setting_kind::text, "", true, 0, 0, "Failure domain of this node."},
            {"caller-address", setting_kind::address, "", true, 0, 0, "Address on which callers are served."},
            {"operator-address", setting_kind::address, "", true, 0, 0, "Address for operators, metrics and health checks."},
            {"peer-address", setting_kind::address, "", true, 0, 0, "Address for other nodes, UDP and TCP."},
            {"platform-address", setting_kind::address, "", true, 0, 0, "Address of the platform's object API."},
            {"seed-peers", setting_kind::address_list, "", false, 0, 0, "Peer addresses of some other nodes, separated by commas."},
            {"peer-key-file", setting_kind::file, "", true, 0, 0, "File with the keys of messages between nodes, one \"id:hex\" a line; the first one signs."},
            {"token-file",
             setting_kind::file,
             "",
             false,
             0,
             0,
             "File with the operators' tokens, one \"role:name:sha256\" a line; without it operators need no token."},
            {"certificate-file", setting_kind::file, "", false, 0, 0, "Certificate in PEM for callers and operators; TLS is off without it."},
            {"private-key-file", setting_kind::file, "", false, 0, 0, "Private key of the certificate in PEM."},
            {"io-threads", setting_kind::integer, "2", false, 1, 64, "Threads that talk to backend servers."},
            {"max-requests", setting_kind::integer, "256", false, 8, 4096, "Requests of callers that run or wait at the same time."},
            {"status-interval-ms", setting_kind::integer, "500", false, 50, 60000, "Time between two status reads of a backend server."},
            {"configuration-interval-ms",
             setting_kind::integer,
             "1000",
             false,
             50,
             60000,
             "Time between two reads of the configuration log when no peer told of a change."},
            {"account-interval-ms", setting_kind::integer, "2000", false, 100, 60000, "Time between two saves of the account of answers."},
            {"drain-margin-ms",
             setting_kind::integer,
             "1000",
             false,
             0,
             60000,
             "Time that a stopping node serves beyond the time callers keep an entry answer."},
            {"log-level", setting_kind::text, "info", false, 0, 0, "Lowest level of log lines: debug, info, warning or error."},
            {"check", setting_kind::flag, "false", false, 0, 0, "Check the settings and exit."},
            {"reference", setting_kind::flag, "false", false, 0, 0, "Print the reference page of the settings and exit."},
        });
    return s_table;
}

node_settings node_settings::fromValues(const setting_values &values)
{
    node_settings settings;
    settings.id = node_id(values.text("node-id"));
    settings.domain = failure_domain_id(values.text("domain"));
    settings.callerAddress = values.text("caller-address");
    settings.operatorAddress = values.text("operator-address");
    settings.peerAddress = values.text("peer-address");
    settings.platformAddress = values.text("platform-address");
    settings.seedPeers = values.list("seed-peers");
    settings.peerKeyFile = values.text("peer-key-file");
    settings.tokenFile = values.text("token-file");
    settings.certificateFile = values.text("certificate-file");
    settings.privateKeyFile = values.text("private-key-file");
    settings.ioThreads = static_cast<unsigned>(values.integer("io-threads"));
    settings.maxRequests = static_cast<unsigned>(values.integer("max-requests"));
    settings.statusInterval = std::chrono::milliseconds(values.integer("status-interval-ms"));
    settings.configurationInterval = std::chrono::milliseconds(values.integer("configuration-interval-ms"));
    settings.accountInterval = std::chrono::milliseconds(values.integer("account-interval-ms"));
    settings.drainMargin = std::chrono::milliseconds(values.integer("drain-margin-ms"));
    return settings;
}

} // namespace snipefall
