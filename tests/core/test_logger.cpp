#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include "core/logger.h"

using namespace snipefall;

namespace {

/** Redirects the log into a pipe for the lifetime of the object. */
struct log_pipe
{
    log_pipe()
    {
        BOOST_REQUIRE(pipe(ends.data()) == 0);
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
        setLogDescriptor(ends[1]);
    }

    ~log_pipe()
    {
        setLogDescriptor(STDOUT_FILENO);
        close(ends[0]);
        close(ends[1]);
    }

    std::string read() const
    {
        std::string text;
        std::array<char, 4096> buffer{};
        ssize_t count = 0;
        while ((count = ::read(ends[0], buffer.data(), buffer.size())) > 0) {
            text.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

    std::array<int, 2> ends{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(logger_tests)

BOOST_AUTO_TEST_CASE(linesAreStructured)
{
    const log_pipe log;
    logInfo("test.line", {{"plain", "a"}, {"quoted", "b c"}});
    const std::string text = log.read();
    BOOST_TEST(text.find(" level=info event=test.line plain=a quoted=\"b c\"\n") != std::string::npos);
}

// Guards against a process that blocks in write() because nothing reads its standard output.
BOOST_AUTO_TEST_CASE(dropsLinesWhenPipeIsFull)
{
    const log_pipe log;
    const std::string filler(3000, 'x');
    for (int i = 0; i < 200; ++i) {
        logInfo("test.fill_" + std::to_string(i), {{"filler", filler}});
    }
    const std::string first = log.read();
    logInfo("test.after");
    const std::string text = log.read();
    BOOST_TEST(text.find("event=test.after dropped=") != std::string::npos);
    BOOST_TEST(first.size() < 200 * filler.size());
}

// Guards against a log volume that grows with the request rate.
BOOST_AUTO_TEST_CASE(limitsLinesPerEvent)
{
    const log_pipe log;
    for (int i = 0; i < 1000; ++i) {
        logInfo("test.repeated");
    }
    const std::string text = log.read();
    // The calls may span two seconds, and the limit applies per second.
    BOOST_TEST(std::count(text.begin(), text.end(), '\n') <= 40);
}

// Guards against long lines that are interleaved with the output of other processes in a shared pipe.
BOOST_AUTO_TEST_CASE(truncatesLongLines)
{
    const log_pipe log;
    logInfo("test.long", {{"filler", std::string(10000, 'x')}});
    BOOST_TEST(log.read().size() == 4096U);
}

BOOST_AUTO_TEST_SUITE_END()
