#pragma once

#include <string>
#include <vector>

/** A listening socket with a full accept queue, so that further connects neither succeed nor fail but time out. */
class full_backlog_listener
{
public:
    full_backlog_listener();
    ~full_backlog_listener();
    full_backlog_listener(const full_backlog_listener &) = delete;
    full_backlog_listener &operator=(const full_backlog_listener &) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    std::vector<int> m_sockets;
    unsigned short m_port = 0;
};
