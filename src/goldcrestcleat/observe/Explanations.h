#pragma once

#include "goldcrestcleat/loop/EventLoop.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestcleat::observe {

/// Records the routing decisions for recent requests, for the `explain` command of operators.
///
/// Keeps the last `MAX_REQUESTS` requests with up to `MAX_STEPS` steps each. Contains no prompts or keys.
class Explanations {
public:
    static constexpr std::size_t MAX_REQUESTS = 2'000;
    static constexpr std::size_t MAX_STEPS = 32;

    void begin(const std::string& requestId, const std::string& workspace, const std::string& chat, loop::TimeMs now);

    /// Adds a step. Unknown requests and steps beyond `MAX_STEPS` are ignored.
    void add(const std::string& requestId, loop::TimeMs now, const std::string& step,
        nlohmann::json details = nlohmann::json::object());

    /// Returns the record of a request, or null.
    nlohmann::json findByRequest(const std::string& requestId) const;

    /// Returns the records of a chat, newest first.
    nlohmann::json findByChat(const std::string& chat) const;

private:
    struct Record {
        std::string workspace;
        std::string chat;
        loop::TimeMs startedAt = 0;
        std::vector<nlohmann::json> steps;
    };

    static nlohmann::json toJson(const std::string& requestId, const Record& record);

    std::unordered_map<std::string, Record> records_;
    std::deque<std::string> order_;
};

} // namespace goldcrestcleat::observe
