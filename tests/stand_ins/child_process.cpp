#include "tests/stand_ins/child_process.h"

#include <csignal>
#include <filesystem>

#include <fcntl.h>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "core/invariant.h"

namespace snipefall {

namespace {

int exitCodeOf(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

} // namespace

child_process::child_process(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile)
{
    const std::string path = (std::filesystem::read_symlink("/proc/self/exe").parent_path() / program).string();
    std::vector<char *> argv{const_cast<char *>(path.c_str())};
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    const pid_t parent = getpid();
    m_pid = fork();
    SNIPEFALL_INVARIANT(m_pid >= 0, "a test can't start a process");
    if (m_pid == 0) {
        // The kernel kills the child when the test program ends, also if the test program itself is killed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(127);
        }
        const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        dup2(log, STDOUT_FILENO);
        // An inherited listener would keep accepting connections after the stand-in closed it.
        closefrom(STDERR_FILENO + 1);
        execv(path.c_str(), argv.data());
        _exit(127);
    }
}

child_process::~child_process()
{
    if (running()) {
        signal(SIGKILL);
        wait();
    }
}

void child_process::signal(int number) const
{
    if (m_pid > 0) {
        kill(m_pid, number);
    }
}

int child_process::wait()
{
    if (m_pid > 0) {
        int status = 0;
        waitpid(m_pid, &status, 0);
        m_exitCode = exitCodeOf(status);
        m_pid = -1;
    }
    return m_exitCode;
}

bool child_process::running()
{
    int status = 0;
    if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_exitCode = exitCodeOf(status);
        m_pid = -1;
    }
    return m_pid > 0;
}

} // namespace snipefall
