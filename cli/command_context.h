#pragma once

#include <string>

#include "core/json.h"
#include "core/setting_values.h"

namespace snipefall {

class node_client;

/** Input of a command: its validated settings and a client for the API of a node. */
struct command_context
{
    const setting_values &values;
    node_client &node;
    bool asJson = false;
};

} // namespace snipefall
