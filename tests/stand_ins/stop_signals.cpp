#include "tests/stand_ins/stop_signals.h"

#include <csignal>

namespace snipefall {

namespace {

sigset_t stopSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

void blockStopSignals()
{
    const sigset_t set = stopSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal()
{
    const sigset_t set = stopSignals();
    int received = 0;
    sigwait(&set, &received);
}

} // namespace snipefall
