#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace snipefall {

/** A program of the build folder that runs as a process of its own; it is killed with this object. */
class child_process
{
public:
    /** Starts bin/@p program with its output appended to @p logFile. */
    child_process(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile);
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    void signal(int number) const;
    /** Waits for the end. Returns the exit code, or 128 plus the signal that ended it. */
    int wait();
    bool running();

private:
    pid_t m_pid = -1;
    int m_result = -1;
};

} // namespace snipefall
