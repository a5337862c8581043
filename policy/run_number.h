#pragma once

#include "core/strong_number.h"

namespace snipefall {

/** A random number that a node draws when it starts; it identifies this run even if the wall clock was set back since the last one. */
using run_number = strong_number<struct run_number_tag>;

} // namespace snipefall
