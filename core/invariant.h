#pragma once

namespace snipefall {

/** Logs the violated invariant and aborts the process. */
[[noreturn]] void failInvariant(const char *condition, const char *message, const char *file, int line);

} // namespace snipefall

/** Aborts the process if @p condition is false. Use it only for states that correct code never reaches, not for invalid input. */
#define SNIPEFALL_INVARIANT(condition, message) \
    do { \
        if (!(condition)) { \
            ::snipefall::failInvariant(#condition, message, __FILE__, __LINE__); \
        } \
    } while (false)
