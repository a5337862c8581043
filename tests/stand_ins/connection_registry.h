#pragma once

#include <cstddef>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace snipefall {

/** Connections that a fake server has received requests on, identified by the peer's address and port. */
class connection_registry
{
public:
    using connection = std::pair<std::string, unsigned short>;

    /** Records a request on a connection. Returns true if it is the first one on it. */
    bool recordRequest(const connection &peer);
    /** If @p silent, requests on all connections seen so far stay unanswered, while new connections are served; otherwise clears this state. */
    void setSeenConnectionsSilent(bool silent);
    bool isSilent(const connection &peer) const;
    std::size_t seen() const;

    /** Counts the open connections on the local port @p port among the file descriptors of this process. */
    static std::size_t countOpen(unsigned short port);

private:
    mutable std::mutex m_mutex;
    std::set<connection> m_known;
    std::set<connection> m_silent;
};

} // namespace snipefall
