#include "core/logger.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include "core/clock.h"

namespace snipefall {

namespace {

constexpr int MAX_LINES_PER_EVENT_PER_SECOND = 20;
/** PIPE_BUF: poll() reports a pipe as writable when it accepts this many bytes without blocking, and such writes are atomic. */
constexpr std::size_t MAX_LINE_BYTES = 4096;

struct event_rate_limit
{
    std::uint64_t second = 0;
    int lines = 0;
    std::uint64_t suppressed = 0;
};

std::atomic<log_level> s_level{log_level::info};
std::atomic<int> s_descriptor{STDOUT_FILENO};
std::uint64_t s_droppedLines = 0; ///< Lines that could not be written without blocking; guarded by s_mutex.
std::mutex s_mutex;

std::map<std::string, event_rate_limit, std::less<>> &eventRates()
{
    static std::map<std::string, event_rate_limit, std::less<>> s_rates;
    return s_rates;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" =\"\n\r\t") != std::string_view::npos;
}

std::string quotedValue(std::string_view value)
{
    std::string text = "\"";
    for (const char c : value) {
        if (c == '\n') {
            text += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    }
    return text + '"';
}

/** Writes the line if the descriptor accepts it without blocking. Returns whether the whole line was written. */
bool writeWithoutBlocking(const std::string &line)
{
    pollfd writable{s_descriptor, POLLOUT, 0};
    if (poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0) {
        return false;
    }
    return write(writable.fd, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

} // namespace

std::optional<log_level> parseLogLevel(std::string_view text)
{
    for (const log_level level : {log_level::debug, log_level::info, log_level::warning, log_level::error}) {
        if (toString(level) == text) {
            return level;
        }
    }
    return std::nullopt;
}

std::string_view toString(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

void setLogLevel(log_level level)
{
    s_level = level;
}

void setLogDescriptor(int descriptor)
{
    s_descriptor = descriptor;
}

void writeLog(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (level < s_level.load(std::memory_order_relaxed)) {
        return;
    }
    const std::uint64_t nowMs = wallClockMs();
    const std::time_t nowSeconds = static_cast<std::time_t>(nowMs / 1000);
    std::string line = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}", fmt::gmtime(nowSeconds), nowMs % 1000, toString(level), event);
    for (const auto &[key, value] : fields) {
        line += fmt::format(" {}={}", key, needsQuotes(value) ? quotedValue(value) : value);
    }
    const std::lock_guard lock(s_mutex);
    auto found = eventRates().find(event);
    if (found == eventRates().end()) {
        found = eventRates().emplace(std::string(event), event_rate_limit{}).first;
    }
    event_rate_limit &rate = found->second;
    if (rate.second != nowMs / 1000) {
        rate.second = nowMs / 1000;
        rate.lines = 0;
    }
    if (++rate.lines > MAX_LINES_PER_EVENT_PER_SECOND) {
        ++rate.suppressed;
        return;
    }
    if (rate.suppressed > 0) {
        line += fmt::format(" suppressed={}", rate.suppressed);
        rate.suppressed = 0;
    }
    if (s_droppedLines > 0) {
        line += fmt::format(" dropped={}", s_droppedLines);
    }
    line.resize(std::min(line.size(), MAX_LINE_BYTES - 1));
    line += '\n';
    if (writeWithoutBlocking(line)) {
        s_droppedLines = 0;
    } else {
        ++s_droppedLines;
    }
}

} // namespace snipefall
