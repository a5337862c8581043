#pragma once

namespace snipefall {

/** Logs the broken invariant and stops the process. */
[[noreturn]] void failInvariant(const char *condition, const char *message, const char *file, int line);

} // namespace snipefall

/** Stops the process when @p condition is false. Only for states that correct code never reaches. */
#define SNIPEFALL_INVARIANT(condition, message) \
    do { \
        if (!(condition)) { \
            ::snipefall::failInvariant(#condition, message, __FILE__, __LINE__); \
        } \
    } while (false)
