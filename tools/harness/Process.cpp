#include "harness/Process.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace goldcrestcleat::harness {

Process::Process(const std::vector<std::string>& command, const std::string& errorPath, Output output)
{
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0)
        throw std::runtime_error("no pipe");
    std::vector<char*> arguments;
    for (const auto& argument : command)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    pid_ = fork();
    if (pid_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int errorFile = open(errorPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output == Output::File ? errorFile : ends[1], STDOUT_FILENO);
        dup2(errorFile, STDERR_FILENO);
        execv(arguments[0], arguments.data());
        _exit(127);
    }
    close(ends[1]);
    output_ = ends[0];
}

Process::Process(Process&& other) noexcept
    : pid_(other.pid_)
    , output_(other.output_)
    , exitCode_(other.exitCode_)
    , ended_(other.ended_)
{
    other.pid_ = -1;
    other.output_ = -1;
    other.ended_ = true;
}

Process::~Process()
{
    kill();
    if (output_ >= 0)
        close(output_);
}

std::string Process::readLine()
{
    std::string line;
    char c = 0;
    while (read(output_, &c, 1) == 1 && c != '\n')
        line.push_back(c);
    return line;
}

void Process::signal(int number) const
{
    if (!ended_)
        ::kill(pid_, number);
}

void Process::freeze() const { signal(SIGSTOP); }

void Process::thaw() const { signal(SIGCONT); }

void Process::kill()
{
    if (ended_ || pid_ <= 0)
        return;
    ::kill(pid_, SIGKILL);
    reap(true);
}

int Process::waitForExit(int timeoutMs)
{
    for (int waitedMs = 0; waitedMs < timeoutMs && !reap(false); waitedMs += 10)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    return ended_ ? exitCode_ : -1;
}

bool Process::isRunning() { return !reap(false); }

bool Process::reap(bool block)
{
    if (ended_)
        return true;
    int status = 0;
    if (waitpid(pid_, &status, block ? 0 : WNOHANG) != pid_)
        return false;
    ended_ = true;
    exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return true;
}

long long cpuMsOf(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    long long user = 0;
    long long system = 0;
    fields >> user >> system;
    return (user + system) * 1000 / sysconf(_SC_CLK_TCK);
}

long long residentKibOf(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    while (file >> word) {
        long long kib = 0;
        if (word == "VmRSS:" && file >> kib)
            return kib;
    }
    return 0;
}

} // namespace goldcrestcleat::harness
