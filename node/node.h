#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "node/node_settings.h"

namespace snipefall {

/** A node: wires the controllers, the blackboard and the network together, and orders start and planned stop. */
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
     * Planned stop: leaves the entry list, serves until no caller can hold an entry answer that names it, lets running requests finish, saves
     * the accounts and stops.
     */
    void stop();

private:
    struct running_state;

    const node_settings m_settings;
    std::unique_ptr<running_state> m_running;
};

} // namespace snipefall
