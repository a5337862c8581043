#include "tests/stand_ins/memory_watch.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>
#include <string>

namespace snipefall {

namespace {

constexpr std::chrono::milliseconds SAMPLE_INTERVAL(20);
constexpr std::size_t KB = 1024;
constexpr std::size_t MB = 1024 * KB;

std::string pathOf(pid_t process, const std::string &name)
{
    return "/proc/" + std::to_string(process) + "/" + name;
}

/** A field of /proc/PID/status that is given in KB, in bytes; nothing is 0. */
std::size_t statusBytes(pid_t process, const std::string &field)
{
    std::ifstream status(pathOf(process, "status"));
    for (std::string line; std::getline(status, line);) {
        if (line.rfind(field + ":", 0) == 0) {
            return std::stoul(line.substr(field.size() + 1)) * KB;
        }
    }
    return 0;
}

std::set<std::string> socketInodes(pid_t process)
{
    std::set<std::string> inodes;
    std::error_code error; // A descriptor that is closed meanwhile has no link.
    for (const auto &entry : std::filesystem::directory_iterator(pathOf(process, "fd"), error)) {
        const std::string target = std::filesystem::read_symlink(entry.path(), error).string();
        if (!error && target.rfind("socket:[", 0) == 0) {
            inodes.insert(target.substr(8, target.size() - 9));
        }
    }
    return inodes;
}

std::size_t unreadBytes(pid_t process)
{
    const std::set<std::string> inodes = socketInodes(process);
    std::ifstream sockets(pathOf(process, "net/tcp"));
    std::size_t bytes = 0;
    std::string line;
    std::getline(sockets, line); // The header.
    while (std::getline(sockets, line)) {
        std::istringstream fields(line);
        std::string number, local, remote, state, queues, timer, retransmits, user, timeout, inode;
        fields >> number >> local >> remote >> state >> queues >> timer >> retransmits >> user >> timeout >> inode;
        // The receive queue of a listening socket counts connections.
        if (state != "0A" && inodes.count(inode) > 0) {
            bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
        }
    }
    return bytes;
}

} // namespace

memory_watch::memory_watch(pid_t process)
    : m_process(process)
    , m_thread([this] { run(); })
{
}

memory_watch::~memory_watch()
{
    m_stopped = true;
    m_thread.join();
}

void memory_watch::run()
{
    while (!m_stopped) {
        sample();
        std::this_thread::sleep_for(SAMPLE_INTERVAL);
    }
}

void memory_watch::sample()
{
    const std::size_t unread = unreadBytes(m_process);
    m_peakUnreadBytes = std::max(m_peakUnreadBytes.load(), unread);
    m_peakBytes = std::max(m_peakBytes.load(), statusBytes(m_process, "VmRSS") + unread);
}

std::size_t memory_watch::peakMb() const
{
    const std::size_t residentPeak = statusBytes(m_process, "VmHWM");
    return residentPeak == 0 ? std::numeric_limits<std::size_t>::max() : std::max(m_peakBytes.load(), residentPeak) / MB;
}

std::size_t memory_watch::openDescriptors() const
{
    const std::filesystem::directory_iterator descriptors(pathOf(m_process, "fd"));
    return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

} // namespace snipefall
