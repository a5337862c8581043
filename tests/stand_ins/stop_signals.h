#pragma once

namespace snipefall {

/** Blocks SIGTERM and SIGINT and ignores SIGPIPE; to be called before the first thread starts. */
void blockStopSignals();

/** Returns when SIGTERM or SIGINT arrives. */
void waitForStopSignal();

} // namespace snipefall
