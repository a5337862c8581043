#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

/**
 * Processes that answer shard queries on many ports of 127.0.0.1 at once, so that the measured process holds no server.
 *
 * Each process is one thread with epoll. It must be constructed before the measured process starts a thread, because it forks.
 */
class shard_answerer
{
public:
    /** @p processes share the @p servers; each answer has @p answerBytes of results and leaves @p holdMs after its request. */
    shard_answerer(unsigned processes, unsigned servers, unsigned answerBytes, unsigned holdMs);
    ~shard_answerer();
    shard_answerer(const shard_answerer &) = delete;
    shard_answerer &operator=(const shard_answerer &) = delete;

    /** "ip:port" of each server. */
    const std::vector<std::string> &addresses() const { return m_addresses; }

private:
    std::vector<std::string> m_addresses;
    std::vector<pid_t> m_children;
};
