#pragma once

#include <cstddef>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace snipefall {

/** The connections of a stand-in, known by the peer's address and port. */
class connection_registry
{
public:
    using connection = std::pair<std::string, unsigned short>;

    /** Returns true if this is the first request of the connection. */
    bool note(const connection &peer);
    /** Makes all connections known now silent for good, or ends the silence. */
    void silenceKnown(bool silent);
    bool isSilent(const connection &peer) const;
    std::size_t seen() const;

    /** Connections of this process that are open on the local port @p port, by the process's own descriptors. */
    static std::size_t countOpen(unsigned short port);

private:
    mutable std::mutex m_mutex;
    std::set<connection> m_known;
    std::set<connection> m_silent;
};

} // namespace snipefall
