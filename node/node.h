#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "node/node_settings.h"

namespace snipefall {

/** A node: connects the controllers, the blackboard and the network, and performs start and planned stop in the right order. */
class node
{
public:
    explicit node(node_settings settings);
    ~node();
    node(const node &) = delete;
    node &operator=(const node &) = delete;

    /** Returns an empty string, or the reason why the node can't start. */
    std::string start();

    /**
     * Performs a planned stop: removes this node from the entry list, serves until the TTL of every entry answer that names it has passed, waits for running
     * requests, saves the accounts and stops the servers.
     */
    void stop();

private:
    struct running_state;

    const node_settings m_settings;
    std::unique_ptr<running_state> m_running;
};

} // namespace snipefall
