#include "core/logger.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <map>
#include <mutex>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "core/clock.h"

namespace snipefall {

namespace {

constexpr int MAX_LINES_PER_EVENT_PER_SECOND = 20;

struct event_rate
{
    std::uint64_t second = 0;
    int lines = 0;
    std::uint64_t suppressed = 0;
};

std::atomic<log_level> s_level{log_level::info};
std::mutex s_mutex;

std::map<std::string, event_rate, std::less<>> &eventRates()
{
    static std::map<std::string, event_rate, std::less<>> s_rates;
    return s_rates;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" =\"\n\r\t") != std::string_view::npos;
}

std::string quoted(std::string_view value)
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

void writeLog(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (level < s_level.load(std::memory_order_relaxed)) {
        return;
    }
    const std::uint64_t nowMs = wallClockMs();
    const std::time_t nowSeconds = static_cast<std::time_t>(nowMs / 1000);
    std::string line = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}", fmt::gmtime(nowSeconds), nowMs % 1000, toString(level), event);
    for (const auto &[key, value] : fields) {
        line += fmt::format(" {}={}", key, needsQuotes(value) ? quoted(value) : value);
    }
    const std::lock_guard lock(s_mutex);
    auto found = eventRates().find(event);
    if (found == eventRates().end()) {
        found = eventRates().emplace(std::string(event), event_rate{}).first;
    }
    event_rate &rate = found->second;
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
    fmt::print(stderr, "{}\n", line);
}

} // namespace snipefall
