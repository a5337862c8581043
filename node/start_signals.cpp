#include "node/start_signals.h"

#include <csignal>

namespace snipefall {

namespace {

sigset_t startSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    return signals;
}

void blockStartSignals()
{
    const sigset_t signals = startSignals();
    sigprocmask(SIG_BLOCK, &signals, nullptr);
}

// The dynamic linker calls this before it initialises any shared library.
__attribute__((section(".preinit_array"), used)) void (*const s_blockStartSignals)() = blockStartSignals;

} // namespace

void deliverStartSignals()
{
    const sigset_t signals = startSignals();
    sigprocmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace snipefall
