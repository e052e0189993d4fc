#include "Verdict.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

namespace review {

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

long long nowMs()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

Record::Record(const std::string& path)
    : file_(path, std::ios::trunc)
    , startedAt_(nowMs())
{
}

void Record::write(const std::string& line)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    file_ << nowMs() - startedAt_ << " ms  " << line << std::endl;
}

int runCase(int argc, char** argv, int (*play)(Record&))
{
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " RECORD\n";
        return NOT_RUN;
    }
    std::signal(SIGPIPE, SIG_IGN);
    Record record(argv[1]);
    record.write(std::string("disruption: ") + (hasTrouble() ? "yes" : "no"));
    try {
        const int result = play(record);
        const std::string text = result == HELD ? "the rule held"
            : result == BROKEN                  ? "the rule was broken"
                                                : "not run";
        record.write(text);
        std::cout << text << std::endl;
        return result;
    } catch (const std::exception& e) {
        record.write(std::string("could not run: ") + e.what());
        std::cerr << "could not run: " << e.what() << std::endl;
        return NOT_RUN;
    }
}

} // namespace review
