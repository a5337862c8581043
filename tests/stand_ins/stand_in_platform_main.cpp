#include <cstdio>
#include <string>

#include <getopt.h>

#include "core/logger.h"
#include "http/http_call.h"
#include "tests/stand_ins/stand_in_platform.h"
#include "tests/stand_ins/stop_signals.h"

int main(int argc, char **argv)
{
    using namespace snipefall;
    std::string address = "127.0.0.1:7000";
    const option flags[] = {{"address", required_argument, nullptr, 'a'}, {"help", no_argument, nullptr, 'h'}, {nullptr, 0, nullptr, 0}};
    for (int flag = 0; (flag = getopt_long(argc, argv, "", flags, nullptr)) != -1;) {
        if (flag != 'a') {
            std::fputs("usage: stand_in_platform [--address ip:port]\n", flag == 'h' ? stdout : stderr);
            return flag == 'h' ? 0 : 2;
        }
        address = optarg;
    }
    std::string host;
    unsigned short port = 0;
    if (!splitAddress(address, host, port)) {
        std::fprintf(stderr, "malformed address: %s\n", address.c_str());
        return 2;
    }
    blockStopSignals();
    stand_in_platform platform(host, port);
    const std::string problem = platform.start();
    if (!problem.empty()) {
        logError("start_failed", {{"reason", problem}});
        return 1;
    }
    logInfo("listening", {{"address", address}});
    waitForStopSignal();
    platform.stop();
    return 0;
}
