#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace snipefall {

/** The data path of a node from planning a query to its merged answer, without the HTTP server for callers, the platform and the peers. */
class node_data_path
{
public:
    /** Each address is a backend server that holds one shard. */
    node_data_path(const std::vector<std::string> &addresses, unsigned ioThreads);
    ~node_data_path();

    /** Plans and runs one query over all servers. Thread-safe. */
    void query();
    /** Plans a query without running it. */
    void plan();
    /** Ends the slow start of all servers by recording successful answers. */
    void completeSlowStart();

    std::size_t openConnections() const;
    /** Number of queries that had an empty plan or did not get an answer from every server. */
    unsigned incomplete() const { return m_incomplete; }

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
    std::atomic<unsigned> m_incomplete{0};
};

} // namespace snipefall
