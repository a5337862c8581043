#include "core/invariant.h"

#include <cstdlib>

#include "core/logger.h"

namespace snipefall {

void failInvariant(const char *condition, const char *message, const char *file, int line)
{
    logError("invariant.broken", {{"condition", condition}, {"message", message}, {"file", file}, {"line", std::to_string(line)}});
    std::abort();
}

} // namespace snipefall
