#include "Common.h"

#include <csignal>
#include <iostream>

namespace standins {

namespace {

    constexpr std::size_t MAX_BODY_BYTES = 16 * 1024 * 1024;
    loop::EventLoop* runningLoop = nullptr; // used by the signal handler

    void onStopSignal(int) { runningLoop->stop(); }

} // namespace

TruthLog::TruthLog(const std::string& path)
{
    if (!path.empty())
        file_.open(path, std::ios::app);
}

void TruthLog::write(loop::TimeMs now, nlohmann::json line)
{
    if (!file_.is_open())
        return;
    line["t"] = now;
    file_ << line.dump() << std::endl; // flushed, so that no line is missing after a kill
}

bool Faults::consume(const std::string& name)
{
    const long long remaining = number(name);
    if (remaining <= 0)
        return false;
    switches_[name] = remaining - 1;
    return true;
}

void replyJson(http::Exchange& exchange, int status, const nlohmann::json& body, http::Fields fields)
{
    fields.emplace_back("Content-Type", "application/json");
    exchange.reply(status, fields, body.dump());
}

int serve(loop::EventLoop& eventLoop, const std::string& address, const http::Server::Handler& handler)
{
    http::Limits limits;
    limits.bodyBytes = MAX_BODY_BYTES;
    http::Server server(eventLoop, address, limits, {}, handler,
        [](const http::Exchange::Ptr& exchange, goldcrestcleat::errors::ResultCode, const std::string& context) {
            replyJson(*exchange, 400, { { "error", context } });
        });
    return runUntilStopped(eventLoop, server.address());
}

int runUntilStopped(loop::EventLoop& eventLoop, const std::string& address)
{
    runningLoop = &eventLoop;
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGPIPE, SIG_IGN);
    std::cout << "listening " << address << std::endl;
    eventLoop.run();
    return 0;
}

} // namespace standins
