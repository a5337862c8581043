#pragma once

namespace snipefall {

/** Blocks SIGTERM and SIGINT and ignores SIGPIPE. Must be called before the first thread starts, because threads inherit the signal mask. */
void blockStopSignals();

/** Blocks until SIGTERM or SIGINT arrives. */
void waitForStopSignal();

} // namespace snipefall
