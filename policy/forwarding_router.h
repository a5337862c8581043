#pragma once

#include "policy/forwarding_decision.h"
#include "policy/forwarding_input.h"

namespace snipefall {

/** Decides whether a node serves a query itself, forwards it to a node that holds permits, or refuses it without running it. */
forwarding_decision decideForwarding(const forwarding_input &input);

} // namespace snipefall
