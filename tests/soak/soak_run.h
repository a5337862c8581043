#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "tests/stand_ins/site_emulator.h"

namespace snipefall {

/**
 * Runs nodes as processes under load while faults come from outside, and checks what callers and backend servers see.
 *
 * The seed draws the faults and their times; when the processes get their turn is the operating system's.
 */
class soak_run
{
public:
    struct options
    {
        unsigned seed = 1;
        std::chrono::seconds trouble{8};
        std::size_t nodes = 4;
        std::size_t shards = 6;
        unsigned requestsPerSecond = 60;
        bool move = false; ///< Orders are moved to another version during the trouble.
    };

    explicit soak_run(const options &settings);

    /** Runs the trouble and the calm after it; returns all broken promises, with the time and the fault before each. */
    std::vector<std::string> run();
    /** What was sent and how it ended, as one line. */
    std::string summary() const;
    /** The faults that were injected, with their times. */
    const std::vector<std::string> &history() const { return m_history; }

private:
    using steady = std::chrono::steady_clock;

    struct sent_request
    {
        site_caller::request request;
        std::string node;
        bool order = false;
        steady::time_point at;
    };
    struct node_trouble
    {
        steady::time_point killedAt{}; ///< Last kill, pause or restart, which may cut requests.
        steady::time_point stoppedAt{}; ///< Last planned stop.
    };
    /** A fault that ends at a given time. */
    struct pending_end
    {
        steady::time_point at;
        std::string what;
        std::function<void()> action;
    };

    void sendSome(steady::time_point now);
    void ended(const sent_request &sent, const site_caller::answer &answer);
    void checkQuery(const sent_request &sent, const site_caller::answer &answer);
    void checkTimes(const sent_request &sent, const site_caller::answer &answer);
    void injectFault(steady::time_point now);
    void disturbNode(steady::time_point now);
    void disturbServer(steady::time_point now);
    void disturbStore(steady::time_point now);
    void changeSite(steady::time_point now);
    void endFaults(steady::time_point now, bool all);
    void orderMove();
    void checkMove();
    void checkCalm();
    void checkRuns();
    void restart(const std::string &name, bool planned);
    void broken(const std::string &what);
    void note(const std::string &what);
    void later(steady::time_point at, const std::string &what, std::function<void()> action);
    std::chrono::milliseconds between(int leastMs, int mostMs);
    std::size_t below(std::size_t count) { return m_random() % count; }

    options m_options;
    std::mt19937 m_random;
    site_emulator m_site;
    std::vector<std::vector<std::string>> m_shardSets;
    std::size_t m_shardSet = 0;
    std::vector<std::string> m_names;
    std::map<std::string, node_trouble> m_troubles;
    std::set<std::string> m_busyNodes; ///< With a signal that is not over.
    std::vector<pending_end> m_pending;
    std::vector<std::string> m_history;
    steady::time_point m_started;
    mutable std::recursive_mutex m_mutex; ///< Guards what follows; answers come on the emulator's event loop.
    std::map<std::string, sent_request> m_sent;
    std::map<std::string, unsigned> m_orderStatus;
    std::map<unsigned, std::size_t> m_statuses;
    std::vector<std::string> m_broken;
    std::size_t m_open = 0;
    double m_owed = 0;
};

} // namespace snipefall
