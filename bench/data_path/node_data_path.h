#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace snipefall {

/** The parts of a node between the planning of a query and its merged answer, without the server for callers, the platform and the peers. */
class node_data_path
{
public:
    /** Each address is a backend server that holds one shard. */
    node_data_path(const std::vector<std::string> &addresses, unsigned ioThreads);
    ~node_data_path();

    /** Plans and runs one query over all servers. Thread-safe. */
    void query();
    /** The planning of a query alone. */
    void plan();
    /** Raises the limits of all servers as if they had answered for long. */
    void assumeWarm();

    std::size_t openConnections() const;
    /** Queries that did not get an answer from every server. */
    unsigned incomplete() const { return m_incomplete; }

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
    std::atomic<unsigned> m_incomplete{0};
};

} // namespace snipefall
