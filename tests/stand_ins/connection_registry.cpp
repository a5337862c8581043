#include "tests/stand_ins/connection_registry.h"

#include <netinet/in.h>
#include <sys/socket.h>

namespace snipefall {

namespace {

// Upper bound of the scanned file descriptors; far more than a fake server with its 256 threads opens.
constexpr int MAX_DESCRIPTORS = 4096;

} // namespace

bool connection_registry::recordRequest(const connection &peer)
{
    const std::lock_guard lock(m_mutex);
    return m_known.insert(peer).second;
}

void connection_registry::setSeenConnectionsSilent(bool silent)
{
    const std::lock_guard lock(m_mutex);
    m_silent = silent ? m_known : std::set<connection>();
}

bool connection_registry::isSilent(const connection &peer) const
{
    const std::lock_guard lock(m_mutex);
    return m_silent.contains(peer);
}

std::size_t connection_registry::seen() const
{
    const std::lock_guard lock(m_mutex);
    return m_known.size();
}

std::size_t connection_registry::countOpen(unsigned short port)
{
    std::size_t count = 0;
    for (int descriptor = 0; descriptor < MAX_DESCRIPTORS; ++descriptor) {
        sockaddr_in local{};
        sockaddr_in peer{};
        socklen_t size = sizeof local;
        if (::getsockname(descriptor, reinterpret_cast<sockaddr *>(&local), &size) != 0 || local.sin_family != AF_INET || ntohs(local.sin_port) != port) {
            continue;
        }
        size = sizeof peer;
        if (::getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &size) == 0) {
            ++count;
        }
    }
    return count;
}

} // namespace snipefall
