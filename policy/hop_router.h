#pragma once

#include "policy/hop_decision.h"
#include "policy/hop_question.h"

namespace snipefall {

/** Decides whether a node serves a query itself, forwards it to a node that holds permits, or refuses it without running it. */
hop_decision routeHop(const hop_question &input);

} // namespace snipefall
