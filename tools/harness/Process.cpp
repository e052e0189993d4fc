#include "harness/Process.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace goldcrestcleat::harness {

Process::Process(const std::vector<std::string>& command, const std::string& errorPath, Output output)
{
    int pipeEnds[2];
    if (pipe2(pipeEnds, O_CLOEXEC) != 0)
        throw std::runtime_error("cannot create a pipe for a child process");
    std::vector<char*> arguments;
    for (const auto& argument : command)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    pid_ = fork();
    if (pid_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int errorFile = open(errorPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output == Output::File ? errorFile : pipeEnds[1], STDOUT_FILENO);
        dup2(errorFile, STDERR_FILENO);
        close_range(STDERR_FILENO + 1, ~0U, 0); // a copy of a relay's socket would delay the end of its connection
        execv(arguments[0], arguments.data());
        _exit(127);
    }
    close(pipeEnds[1]);
    outputPipe_ = pipeEnds[0];
}

Process::Process(Process&& other) noexcept
    : pid_(other.pid_)
    , outputPipe_(other.outputPipe_)
    , exitCode_(other.exitCode_)
    , hasEnded_(other.hasEnded_)
{
    other.pid_ = -1;
    other.outputPipe_ = -1;
    other.hasEnded_ = true;
}

Process::~Process()
{
    kill();
    if (outputPipe_ >= 0)
        close(outputPipe_);
}

std::string Process::readLine()
{
    std::string line;
    char c = 0;
    while (read(outputPipe_, &c, 1) == 1 && c != '\n')
        line.push_back(c);
    return line;
}

void Process::signal(int number) const
{
    if (!hasEnded_)
        ::kill(pid_, number);
}

void Process::suspend() const { signal(SIGSTOP); }

void Process::resume() const { signal(SIGCONT); }

void Process::kill()
{
    if (hasEnded_ || pid_ <= 0)
        return;
    ::kill(pid_, SIGKILL);
    reap(true);
}

int Process::waitForExit(int timeoutMs)
{
    for (int waitedMs = 0; waitedMs < timeoutMs && !reap(false); waitedMs += 10)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    return hasEnded_ ? exitCode_ : -1;
}

bool Process::isRunning() { return !reap(false); }

bool Process::reap(bool block)
{
    if (hasEnded_)
        return true;
    int status = 0;
    if (waitpid(pid_, &status, block ? 0 : WNOHANG) != pid_)
        return false;
    hasEnded_ = true;
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

namespace {

    /// Returns a value of /proc/PID/status that is stated in KiB, or 0.
    long long statusKibOf(pid_t pid, const std::string& name)
    {
        std::ifstream file("/proc/" + std::to_string(pid) + "/status");
        std::string word;
        while (file >> word) {
            long long kib = 0;
            if (word == name && file >> kib)
                return kib;
        }
        return 0;
    }

} // namespace

long long residentKibOf(pid_t pid) { return statusKibOf(pid, "VmRSS:"); }

long long peakResidentKibOf(pid_t pid) { return statusKibOf(pid, "VmHWM:"); }

int openDescriptorsOf(pid_t pid)
{
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid) + "/fd");
    return static_cast<int>(std::distance(begin(entries), end(entries)));
}

} // namespace goldcrestcleat::harness
