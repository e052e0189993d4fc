#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

/// Starts daemons and stand-ins as processes, calls them and reads their logs; for tests, benches and the walkthrough.
namespace goldcrestcleat::harness {

/// A child process; killed when this object ends.
class Process {
public:
    /// Where standard output goes; standard error goes to a file.
    enum class Output { Pipe, File };

    /// Starts a program.
    Process(const std::vector<std::string>& command, const std::string& errorPath, Output output = Output::Pipe);
    ~Process();

    Process(Process&& other) noexcept;
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;
    Process& operator=(Process&&) = delete;

    /// Waits for a line on standard output and returns it without the line end; empty at the end of output.
    std::string readLine();

    void signal(int number) const;
    void freeze() const;
    void thaw() const;

    /// Kills at once and waits.
    void kill();

    /// Waits for the process to end by itself; returns its exit code, or -1 if it did not end in time.
    int waitForExit(int timeoutMs);

    bool isRunning();
    pid_t pid() const { return pid_; }

private:
    bool reap(bool block);

    pid_t pid_ = -1;
    int output_ = -1;
    int exitCode_ = -1;
    bool ended_ = false;
};

/// Returns the processor time that a process has used, in ms.
long long cpuMsOf(pid_t pid);

/// Returns the resident memory of a process, in KiB.
long long residentKibOf(pid_t pid);

} // namespace goldcrestcleat::harness
