#pragma once

#include <string>
#include <vector>

/** A listening socket with a full accept queue, so that further connects neither succeed nor fail but time out. */
class blocked_listener
{
public:
    blocked_listener();
    ~blocked_listener();
    blocked_listener(const blocked_listener &) = delete;
    blocked_listener &operator=(const blocked_listener &) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    std::vector<int> m_sockets;
    unsigned short m_port = 0;
};
