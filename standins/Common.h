#pragma once

#include "goldcrestcleat/http/Server.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <functional>
#include <string>

namespace standins {

namespace http = goldcrestcleat::http;
namespace loop = goldcrestcleat::loop;

/// Truth log: records what a stand-in did, as JSON lines. Tests compare it with what callers and daemons report.
class TruthLog {
public:
    /// Opens the file for appending. An empty path disables the log.
    explicit TruthLog(const std::string& path);

    /// Appends a line, with the steady time in ms as the field `t`.
    void write(loop::TimeMs now, nlohmann::json line);

private:
    std::ofstream file_;
};

/// Fault switches by name. A switch that is 0 or absent is off.
class Faults {
public:
    /// Sets the switches that the JSON object contains and keeps all others.
    void set(const nlohmann::json& switches) { switches_.update(switches); }

    long long number(const std::string& name) const { return switches_.value(name, 0LL); }
    std::string text(const std::string& name) const { return switches_.value(name, std::string()); }

    /// Decrements a counter if it is above 0; returns whether it was.
    bool consume(const std::string& name);

private:
    nlohmann::json switches_ = nlohmann::json::object();
};

/// Sends a response with a JSON body.
void replyJson(http::Exchange& exchange, int status, const nlohmann::json& body, http::Fields fields = {});

/// Opens the listener, prints `listening ADDRESS` to standard output and serves requests until SIGTERM.
int serve(loop::EventLoop& eventLoop, const std::string& address, const http::Server::Handler& handler);

/// Prints `listening ADDRESS` to standard output and runs the loop until SIGTERM.
int runUntilStopped(loop::EventLoop& eventLoop, const std::string& address);

int runEngine(const std::string& address, const std::string& truthPath, const nlohmann::json& faults);
int runService(const std::string& address, const std::string& truthPath, const nlohmann::json& faults);
int runRowStore(const std::string& address, const std::string& truthPath, const nlohmann::json& faults);
int runSignedServer(const std::string& address, const std::string& truthPath, const nlohmann::json& faults);
int runPlatform(const std::string& address, const std::string& truthPath, const nlohmann::json& faults);

} // namespace standins
