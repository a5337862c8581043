#include <filesystem>
#include <fstream>
#include <iterator>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <unistd.h>

#include "http/http_request.h"
#include "http/http_response.h"
#include "http/http_server.h"
#include "tests/stand_ins/child_process.h"
#include "tests/stand_ins/free_port.h"

using namespace snipefall;

namespace {

namespace fs = std::filesystem;

struct start_case
{
    const char *name;
    std::vector<std::string> arguments; ///< Appended to the valid arguments; the last value of a repeated setting applies.
    int exitCode;
    std::string message; ///< "{used}" is replaced by an address in use, "{dir}" by the directory of the test files.
};

std::ostream &operator<<(std::ostream &out, const start_case &row)
{
    return out << row.name;
}

const start_case START_CASES[] = {
    {"valid settings", {"--check"}, 0, "the settings are valid"},
    {"help", {"--help"}, 0, "Usage: snipefalld"},
    {"unknown flag", {"--check", "--caller-adress", "x"}, 2, "--caller-adress: unknown setting; did you mean --caller-address?"},
    {"unreadable key file", {"--check", "--peer-key-file", "{dir}/none"}, 2, "--peer-key-file: can't read \"{dir}/none\""},
    {"two problems", {"--check", "--io-threads", "0", "--node-id", ""}, 2, "--node-id: is required\n--io-threads: 0 is outside 1 to 64"},
    {"invalid log level", {"--check", "--log-level", "loud"}, 2, "--log-level must be debug, info, warning or error"},
    {"argument without a flag", {"--check", "node-2"}, 2, "unexpected argument node-2"},
    {"caller port in use", {"--caller-address", "{used}"}, 3, "{used}"},
    {"operator port in use", {"--operator-address", "{used}"}, 3, "{used}"},
    {"peer port in use", {"--peer-address", "{used}"}, 3, "{used}"},
    {"key file for others", {"--peer-key-file", "{dir}/public.key"}, 3, "must have mode 0600"},
    {"malformed key file", {"--peer-key-file", "{dir}/malformed.key"}, 3, "a line must be \"id:hex\""},
    {"malformed token file", {"--token-file", "{dir}/malformed.key"}, 3, "malformed.key:1: a line must be"},
};

std::string replaced(std::string text, const std::string &placeholder, const std::string &value)
{
    for (std::size_t at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder, at + value.size())) {
        text.replace(at, placeholder.size(), value);
    }
    return text;
}

struct start_files
{
    start_files()
        : path(fs::temp_directory_path() / ("snipefall-start-" + std::to_string(getpid())))
    {
        fs::remove_all(path);
        fs::create_directories(path);
        write("peer.key", "k1:" + std::string(64, 'a') + "\n", 0600);
        write("public.key", "k1:" + std::string(64, 'a') + "\n", 0644);
        write("malformed.key", "k1\n", 0600);
    }
    ~start_files() { fs::remove_all(path); }

    void write(const std::string &name, const std::string &content, unsigned mode) const
    {
        std::ofstream(path / name) << content;
        fs::permissions(path / name, static_cast<fs::perms>(mode));
    }

    fs::path path;
};

} // namespace

BOOST_AUTO_TEST_SUITE(start_failure_tests)

// Guards against a node that keeps running with settings it can't use, or exits without an error message.
BOOST_DATA_TEST_CASE_F(start_files, exitsWithErrorMessage, START_CASES)
{
    http_server_options options;
    options.port = freePort();
    http_server occupant(options, [](const http_request &) { return http_response(); });
    BOOST_REQUIRE(occupant.start().empty());
    const std::string used = "127.0.0.1:" + std::to_string(options.port);
    const auto filled = [&](const std::string &text) { return replaced(replaced(text, "{used}", used), "{dir}", path.string()); };

    std::vector<std::string> arguments = {"--node-id",
                                          "node-1",
                                          "--domain",
                                          "domain-1",
                                          "--caller-address",
                                          freeAddress(),
                                          "--operator-address",
                                          freeAddress(),
                                          "--peer-address",
                                          freeAddress(),
                                          "--platform-address",
                                          freeAddress(),
                                          "--peer-key-file",
                                          (path / "peer.key").string()};
    for (const std::string &argument : sample.arguments) {
        arguments.push_back(filled(argument));
    }
    const std::string log = (path / "log").string();
    child_process process("snipefalld", arguments, log);
    BOOST_TEST(process.wait() == sample.exitCode);
    std::ifstream file(log);
    const std::string output((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    BOOST_TEST(output.find(filled(sample.message)) != std::string::npos, output);
}

BOOST_AUTO_TEST_SUITE_END()
