#pragma once

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "tests/stand_ins/child_process.h"
#include "tests/stand_ins/loopback_proxy.h"
#include "tests/stand_ins/site_backend.h"
#include "tests/stand_ins/site_caller.h"
#include "tests/stand_ins/site_store.h"
#include "tests/stand_ins/site_usage_receiver.h"

namespace snipefall {

/**
 * This project's own emulator of the users' platform on one machine. The store, the backend servers and the callers run on an event loop of this process; each
 * node is a child process.
 */
class site_emulator
{
public:
    struct node_addresses
    {
        std::string callers;
        std::string ready;
        std::string directory;
        std::string peers;
        std::string metrics;
    };

    struct options
    {
        std::size_t shards = 4;
        std::size_t serversPerShard = 2;
        std::size_t unshardedServers = 3; ///< Backend servers of the unsharded service, whose requests each go to one of them.
        std::chrono::milliseconds work{4};
        std::size_t records = 8; ///< Records in the answer of a shard.
        std::size_t unshardedRecords = 8; ///< Records in the answer of a server of the unsharded service.
        std::size_t top = 10;
        double minCoverageShare = 0.75;
        std::chrono::milliseconds queryTimeout{800};
        std::chrono::milliseconds queryTargetLatency{200};
        double graceSeconds = 3;
        unsigned retrySlack = 200;
        std::chrono::milliseconds usageWindow{0}; ///< Length of the windows of the usage report; 0 if no report is wanted.
        unsigned nodeMemoryMb = 260; ///< Memory of the machine of each node.
        unsigned nodeDescriptors = 1024; ///< Descriptors that a node may open, of which 200 are for files.
        std::size_t maxHeaderBytes = 16384;
        std::size_t maxBodyBytes = 65536;
        bool proxies = false; ///< Puts a proxy in front of each backend server, and for each node one in front of the store.
    };

    explicit site_emulator(options settings);
    ~site_emulator();
    site_emulator(const site_emulator &) = delete;
    site_emulator &operator=(const site_emulator &) = delete;

    /** Runs @p action on the event loop, blocks until it has ended, and returns its result. Deadlocks if called on the event loop. */
    template <typename F>
    auto onLoop(F action) -> decltype(action())
    {
        std::packaged_task<decltype(action())()> task(std::move(action));
        auto result = task.get_future();
        boost::asio::post(m_loop, [&task] { task(); });
        return result.get();
    }

    void startNode(const std::string &name, const std::string &domain);
    /** Starts a node that can read its settings only after @p whileStarting has returned, which is called once the node has opened the settings file. */
    void startNodeSlowly(const std::string &name, const std::string &domain, const std::function<void()> &whileStarting);
    child_process &node(const std::string &name) const { return *m_nodes.at(name).process; }
    const node_addresses &addresses(const std::string &name) const { return m_nodes.at(name).addresses; }
    std::string logOf(const std::string &name) const;
    /** Copies the logs of all nodes into @p folder, which is created if it doesn't exist. */
    void copyLogs(const std::string &folder) const;
    /** Writes the settings file of the node with @p retrySlack as its bound retry_slack. */
    void writeSettingsFile(const std::string &name, unsigned retrySlack) const;
    /** Waits until the readiness endpoint of the node answers 200. Returns false on a time-out. */
    bool waitReady(const std::string &name);
    static bool waitFor(const std::function<bool()> &condition);

    /** Sends a request and blocks until it is answered or has failed. */
    site_caller::answer call(const std::string &address, const site_caller::request &request);
    site_caller::answer query(const std::string &node);
    site_caller::answer order(const std::string &node);
    /** Returns a request id that this emulator has not used before. */
    std::string uniqueRequestId();
    site_caller::request queryRequest();
    site_caller::request orderRequest();
    /** Returns why a successful answer to a query is wrong, or an empty string if it is right. */
    std::string findAnswerProblem(const site_caller::answer &answer, const site_caller::request &request) const;
    /** Returns the addresses from the directory endpoint of a node; empty if the status is not 200. */
    std::vector<std::string> directory(const std::string &node);

    /** Applies @p change to the configuration and writes it to the store under a higher version number. */
    void configure(const std::function<void(json &)> &change);
    /** To be used only on the event loop. */
    site_store &store() { return *m_store; }
    site_caller &caller() { return *m_caller; }
    /** To be used only on the event loop. */
    site_usage_receiver &usageReceiver() { return *m_usageReceiver; }
    std::vector<site_backend *> serversOf(const std::string &service);
    const std::vector<std::string> &shards() const { return m_shards; }
    const options &settings() const { return m_options; }
    /** Makes each backend server crash when it executes a request whose target contains @p text, and restart soon after. Requires options::proxies. */
    void crashServersOnTarget(const std::string &text);
    /**
     * Crashes the backend servers that @p selects accepts, one after another with @p gap between them; each is back after @p downtime.
     *
     * Requires options::proxies; to be used only on the event loop.
     */
    void crashServers(const std::function<bool(const site_backend &)> &selects, std::chrono::milliseconds downtime, std::chrono::milliseconds gap);
    std::string addServer(const std::string &service, const std::string &domain, const std::string &version = "v1");
    /** The proxies in front of the backend servers and, for each node, of the store. Require options::proxies; to be used only on the event loop. */
    std::vector<std::unique_ptr<loopback_proxy>> &serverProxies() { return m_serverProxies; }
    loopback_proxy &storeProxy(const std::string &node) { return *m_nodes.at(node).storeProxy; }
    /** Makes the store answer each call of this node with @p status, and execute none, while it serves the others; 0 ends that. */
    void refuseNode(const std::string &node, unsigned status) { m_store->refuseEntrance(m_nodes.at(node).storeAddress, status); }
    std::vector<std::string> nodeNames() const;
    boost::asio::io_context &loop() { return m_loop; }

    static constexpr char UNSHARDED_SERVICE[] = "plain";
    static constexpr char HOST[] = "site.example";
    static constexpr std::chrono::milliseconds USAGE_LEASE{1000};
    static constexpr double CANARY_SHARE = 0.1;
    static constexpr double CANARY_SLACK = 20;

private:
    struct node_state
    {
        node_addresses addresses;
        std::string domain;
        std::string storeAddress; ///< The node's own entrance to the store.
        std::unique_ptr<child_process> process;
        std::unique_ptr<loopback_proxy> storeProxy;
    };

    /** Assigns the addresses of a new node and writes its settings file. */
    void prepareNode(const std::string &name, const std::string &domain);
    void launchNode(const std::string &name);
    void after(std::chrono::milliseconds delay, std::function<void()> action);
    void crashServer(std::size_t index, std::chrono::milliseconds downtime);
    std::string pathOf(const std::string &node, const std::string &suffix) const;

    options m_options;
    std::string m_folder;
    boost::asio::io_context m_loop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    std::thread m_thread;
    std::unique_ptr<site_store> m_store;
    std::unique_ptr<site_caller> m_caller;
    std::unique_ptr<site_usage_receiver> m_usageReceiver;
    std::vector<std::unique_ptr<site_backend>> m_servers;
    std::vector<std::unique_ptr<loopback_proxy>> m_serverProxies;
    std::vector<std::string> m_shards;
    std::map<std::string, node_state> m_nodes;
    std::vector<std::string> m_seeds;
    json m_configuration;
    std::atomic<unsigned long> m_lastId{0};
};

} // namespace snipefall
