#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

/**
 * Child processes that answer shard queries on many ports of 127.0.0.1, so that the measured process contains no server.
 *
 * Each child runs one thread with an epoll loop. Construct the object before the measured process starts a thread, because the constructor forks.
 */
class shard_server_stub
{
public:
    /**
     * Spreads @p servers listening ports over @p processes. Each answer has @p answerBytes of results and is sent @p answerDelayMs after its request.
     *
     * Throws std::runtime_error if a port can't be opened.
     */
    shard_server_stub(unsigned processes, unsigned servers, unsigned answerBytes, unsigned answerDelayMs);
    ~shard_server_stub();
    shard_server_stub(const shard_server_stub &) = delete;
    shard_server_stub &operator=(const shard_server_stub &) = delete;

    /** "ip:port" of each server. */
    const std::vector<std::string> &addresses() const { return m_addresses; }

private:
    std::vector<std::string> m_addresses;
    std::vector<pid_t> m_children;
};
