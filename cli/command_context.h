#pragma once

#include <string>

#include "core/json.h"
#include "core/setting_values.h"

namespace snipefall {

class node_client;

/** What a command gets: its checked settings and a way to talk to a node. */
struct command_context
{
    const setting_values &values;
    node_client &node;
    bool asJson = false;
};

} // namespace snipefall
