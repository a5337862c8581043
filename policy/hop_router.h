#pragma once

#include "policy/hop_decision.h"
#include "policy/hop_question.h"

namespace snipefall {

/** Decides whether a node serves a query, forwards it to a holder of permits, or refuses it as not run. */
hop_decision routeHop(const hop_question &question);

} // namespace snipefall
