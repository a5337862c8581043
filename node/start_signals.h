#pragma once

namespace snipefall {

/**
 * Delivers the signals that arrived since the start of the process.
 *
 * SIGHUP, SIGINT and SIGTERM are blocked before main() and before the constructors of shared libraries, because their default action would end a process that
 * is still starting. Call this once their handlers are installed.
 */
void deliverStartSignals();

} // namespace snipefall
