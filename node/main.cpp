#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string_view>

#include <fmt/format.h>
#include <pthread.h>

#include "core/logger.h"
#include "core/setting_values.h"
#include "core/settings_table.h"
#include "node/node.h"
#include "node/node_settings.h"
#include "node/start_signals.h"
#include "platform/boot_settings.h"
#include "tier/tier_process.h"
#include "tier/tier_settings.h"

extern char **environ;

namespace {

constexpr int EXIT_USAGE = 2;
constexpr int EXIT_START = 3;

/** Whether SNIPEFALL_BOOT or --boot names a boot file, as on a platform that passes each process a settings file. */
bool hasBootFile(int argc, char **argv)
{
    if (std::getenv("SNIPEFALL_BOOT")) {
        return true;
    }
    for (int i = 1; i < argc; ++i) {
        const std::string_view argument = argv[i];
        if (argument == "--boot" || argument.substr(0, 7) == "--boot=") {
            return true;
        }
    }
    return false;
}

int runOnPlatform(const snipefall::setting_values &values)
{
    using namespace snipefall;
    const tier_settings settings = tier_settings::fromValues(values);
    outcome<boot_settings> boot = readBootSettings(settings.bootFile);
    if (!boot) {
        fmt::print(stderr, "snipefalld: {}: {}\n", settings.bootFile, boot.reason().message);
        return EXIT_USAGE;
    }
    std::signal(SIGPIPE, SIG_IGN);
    tier_process process(settings, std::move(boot).value());
    deliverStartSignals();
    if (const auto problem = process.run()) {
        fmt::print(stderr, "snipefalld: {}\n", *problem);
        return EXIT_START;
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    using namespace snipefall;
    const bool onPlatform = hasBootFile(argc, argv);
    const settings_table &table = onPlatform ? tier_settings::table() : node_settings::table();
    for (int i = 1; i < argc; ++i) {
        const std::string argument = argv[i];
        if (argument == "--help" || argument == "--reference") {
            fmt::print("{}", argument == "--help" ? table.help() : table.referencePage());
            return 0;
        }
    }
    const outcome<setting_values> values = table.parse(argc, argv, environ);
    if (!values) {
        fmt::print(stderr, "snipefalld: {}\n", values.reason().message);
        return EXIT_USAGE;
    }
    const std::optional<log_level> level = parseLogLevel(values->text("log-level"));
    if (!level || !values->arguments.empty()) {
        fmt::print(
            stderr, "snipefalld: {}\n", level ? "unexpected argument " + values->arguments.front() : "--log-level must be debug, info, warning or error");
        return EXIT_USAGE;
    }
    setLogLevel(*level);
    if (values->flag("check")) {
        fmt::print("the settings are valid\n");
        return 0;
    }
    if (onPlatform) {
        return runOnPlatform(*values);
    }
    // Blocks the signals in all threads; sigwait() below receives them. SIGHUP, blocked since the start, gets its default action back. SIGPIPE is ignored, so
    // that a write to a closed connection returns an error.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_SETMASK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    node running(node_settings::fromValues(*values));
    const std::string problem = running.start();
    if (!problem.empty()) {
        fmt::print(stderr, "snipefalld: {}\n", problem);
        return EXIT_START;
    }
    int signalNumber = 0;
    sigwait(&signals, &signalNumber);
    logInfo("node.stopping", {{"signal", std::to_string(signalNumber)}});
    running.stop();
    logInfo("node.stopped");
    return 0;
}
