#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

/// Test harness that starts daemons and stand-ins as processes, sends requests to them and reads their logs. Used by
/// tests, benchmarks and the walkthrough.
namespace goldcrestcleat::harness {

/// A child process; killed when this object is destroyed.
class Process {
public:
    /// Destination of standard output. Standard error is always appended to the file.
    enum class Output { Pipe, File };

    /// Starts a program. `errorPath` is the file for its standard error.
    Process(const std::vector<std::string>& command, const std::string& errorPath, Output output = Output::Pipe);
    ~Process();

    Process(Process&& other) noexcept;
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;
    Process& operator=(Process&&) = delete;

    /// Waits for a line on standard output and returns it without its terminator; returns an empty string at the end of
    /// the output.
    std::string readLine();

    void signal(int number) const;
    void suspend() const;
    void resume() const;

    /// Sends SIGKILL and waits for the exit.
    void kill();

    /// Waits for the process to exit and returns its exit code, or -1 if it is still running after `timeoutMs`.
    int waitForExit(int timeoutMs);

    bool isRunning();
    pid_t pid() const { return pid_; }

private:
    bool reap(bool block);

    pid_t pid_ = -1;
    int outputPipe_ = -1;
    int exitCode_ = -1;
    bool hasEnded_ = false;
};

/// Returns the CPU time that a process has used, in ms.
long long cpuMsOf(pid_t pid);

/// Returns the resident set size of a process, in KiB.
long long residentKibOf(pid_t pid);

/// Returns the largest resident set size that a process has had, in KiB.
long long peakResidentKibOf(pid_t pid);

/// Returns the number of open descriptors of a process.
int openDescriptorsOf(pid_t pid);

} // namespace goldcrestcleat::harness
