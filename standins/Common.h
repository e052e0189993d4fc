#pragma once

#include "goldcrestcleat/http/Server.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <functional>
#include <string>

namespace standins {

namespace http = goldcrestcleat::http;
namespace loop = goldcrestcleat::loop;

/// Appends what a stand-in did as JSON lines; the truth that checks are made against.
class TruthLog {
public:
    /// An empty path writes nothing.
    explicit TruthLog(const std::string& path);

    /// Adds a line with the steady time in ms.
    void write(loop::TimeMs now, nlohmann::json line);

private:
    std::ofstream file_;
};

/// Fault switches by name; a count of 0 or an absent name means off.
class Faults {
public:
    /// Sets the switches named in a JSON object.
    void set(const nlohmann::json& switches) { switches_.update(switches); }

    long long number(const std::string& name) const { return switches_.value(name, 0LL); }
    std::string text(const std::string& name) const { return switches_.value(name, std::string()); }

    /// Takes one off a count; true while it was above 0.
    bool take(const std::string& name);

private:
    nlohmann::json switches_ = nlohmann::json::object();
};

/// Sends a JSON answer.
void replyJson(http::Exchange& exchange, int status, const nlohmann::json& body, http::Fields fields = {});

/// Opens the listener, prints `listening ADDRESS` and serves until SIGTERM.
int serve(loop::EventLoop& eventLoop, const std::string& address, const http::Server::Handler& handler);

int runEngine(const std::string& address, const std::string& truthPath, const nlohmann::json& faults);
int runService(const std::string& address, const std::string& truthPath, const nlohmann::json& faults);
int runRowStore(const std::string& address, const std::string& truthPath, const nlohmann::json& faults);
int runSignedServer(const std::string& address, const std::string& truthPath, const nlohmann::json& faults);
int runPlatform(const std::string& address, const std::string& truthPath, const nlohmann::json& faults);

} // namespace standins
