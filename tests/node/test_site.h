#pragma once

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/json.h"
#include "tests/stand_ins/child_process.h"
#include "tests/stand_ins/stand_in_backend.h"
#include "tests/stand_ins/stand_in_platform.h"

namespace snipefall {

/** A test deployment: a stand-in platform and stand-in backend servers in this process, and nodes as separate processes. */
class test_site
{
public:
    struct node_addresses
    {
        std::string callers;
        std::string operators;
        std::string peers;
    };

    /** The response of a node; status 0 if none arrived. */
    struct answer
    {
        int status = 0;
        json body;

        /** Returns the member "ran" of an error response, or an empty string. */
        std::string ran() const { return body.is_object() ? jsonValue<std::string>(body.value("error", json::object()), "ran", "") : ""; }
        bool repeated() const { return jsonValue<bool>(body, "repeated", false); }
        /**
         * Whether the response to an order reflects the state of its claim. Without permits, a free slot or the platform, a node refuses only this
         * submission.
         */
        bool reflectsClaim() const { return status == 200 || ran() == "unknown" || body.dump().find("send it with a new id") != std::string::npos; }
    };

    test_site();
    ~test_site();

    /** Adds a backend server of service "svc" with 12 shards, 2 slots and 3 ms a request, unless the options say otherwise. */
    stand_in_backend &addServer(const std::string &id, const std::string &domain, stand_in_backend_options options = defaultOptions());
    static stand_in_backend_options defaultOptions();
    /** Adds a backend server as a separate process, which can crash. */
    void addServerProcess(const std::string &id, const std::string &domain);
    child_process &serverProcess(const std::string &id) { return *m_servers.at(id).process; }
    const std::string &serverAddress(const std::string &id) const { return m_servers.at(id).address; }
    /** Publishes all servers and nodes in the platform's VM list. */
    void publishVms();

    /** Starts or restarts a node. Nodes of different groups have different peer keys and no common seeds, so they can't communicate, as in a region split. */
    void startNode(const std::string &name, const std::string &domain, const std::string &group = "k1");
    /** Starts node-1 to node-N in domain-1 to domain-N and the service "svc", and waits until each node answers its queries. */
    void startService(int nodes, const json &settings = json::object());
    child_process &process(const std::string &node) { return *m_nodes.at(node).process; }
    const node_addresses &addresses(const std::string &node) const { return m_nodes.at(node).addresses; }
    std::vector<std::string> nodeNames() const;

    answer call(const std::string &address, const std::string &method, const std::string &target, const json &body, const std::string &requestId = "") const;
    answer query(const std::string &node, const json &query = json::object()) const;
    answer execute(const std::string &node, const std::string &requestId) const;
    /**
     * Repeats an order through the nodes in turn until a response reflects the state of its claim. It changes nodes because a node that gave up a claim does
     * not read it again. The test fails if this takes longer than waitFor() allows.
     */
    answer executeUntilSettled(const std::string &requestId) const;
    /** Submits a merge patch on top of the node's current configuration version. */
    answer patch(const std::string &node, const json &merge) const;
    std::uint64_t configVersion(const std::string &node) const;
    /** Returns the number of slots for which the node holds permits for "svc". */
    std::uint64_t permitsOf(const std::string &node) const;

    /** Waits up to a minute until the condition holds, which is far longer than any step takes; the tests don't assert times. */
    static bool waitFor(const std::function<bool()> &condition);

    stand_in_platform &platform() { return *m_platform; }
    stand_in_backend &server(const std::string &id) { return *m_servers.at(id).server; }
    std::uint64_t runsOf(const std::string &requestId) const;
    /** Whether the coverage stated in an answer matches the shards of its results, and all results have the answer's snapshot and version. */
    static bool labelMatchesResults(const json &answer, std::uint64_t itemsPerShard = defaultOptions().itemsPerShard);
    static std::string newRequestId();

private:
    std::string keyFileOf(const std::string &group) const;

    struct running_node
    {
        node_addresses addresses;
        std::string domain;
        std::string group;
        std::unique_ptr<child_process> process;
    };
    struct running_server
    {
        std::string domain;
        std::string version;
        std::string address;
        std::unique_ptr<stand_in_backend> server; ///< Null for a server in a separate process.
        std::unique_ptr<child_process> process; ///< Null for a server in this process.
    };

    std::filesystem::path m_directory;
    std::unique_ptr<stand_in_platform> m_platform;
    std::map<std::string, running_server> m_servers;
    std::map<std::string, running_node> m_nodes;
};

} // namespace snipefall
