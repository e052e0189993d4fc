#pragma once

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace goldcrestcleat::harness {

/// A whole HTTP answer.
struct Answer {
    int status = 0; ///< 0 when the connection failed or broke
    std::string body;
    std::map<std::string, std::string> headers;
    bool isBroken = false; ///< the connection ended before the answer did

    nlohmann::json json() const { return nlohmann::json::parse(body, nullptr, false); }

    /// Returns the number of the error, or 0.
    int errorCode() const;

    /// Returns the error's `executed` member, or an empty string.
    std::string executed() const;
};

using Headers = std::map<std::string, std::string>;

/// Makes one HTTP request over a new connection and waits for the whole answer.
Answer call(const std::string& address, const std::string& method, const std::string& target,
    const std::string& body = "", const Headers& headers = {}, int timeoutMs = 30'000);

/// Sends raw bytes over a new connection and returns all bytes that come back until it is closed or `timeoutMs` is
/// over.
std::string callRaw(
    const std::string& address, const std::string& bytes, int timeoutMs = 5'000, bool closeWriting = false);

/// What a caller got of a streamed answer.
struct StreamAnswer {
    int status = 0;
    std::string text; ///< all parts joined
    std::size_t parts = 0;
    bool isWhole = false; ///< the end marker came
    bool sawFinish = false;
    int errorCode = 0;
    std::string executed;
    std::map<std::string, std::string> headers;
};

/// Reads an answer's events.
StreamAnswer readEvents(const Answer& answer);

/// A conversation that a caller carries on.
class Chat {
public:
    Chat(std::string workspace, std::string key, std::string id);

    /// Says something and waits for the streamed answer; a whole answer becomes part of the history.
    StreamAnswer say(
        const std::string& address, const std::string& text, std::size_t parts = 8, const Headers& more = {});

    /// Returns the answer that the stand-in engines give to the history and the text.
    std::string expectedAnswer(const std::string& text, std::size_t parts) const;

    void forgetHint() { hint_.clear(); }
    void setHint(const std::string& hint) { hint_ = hint; }
    const std::string& hint() const { return hint_; }
    const std::string& servedBy() const { return servedBy_; }

private:
    std::string workspace_;
    std::string key_;
    std::string id_;
    std::string hint_;
    std::string servedBy_;
    nlohmann::json history_ = nlohmann::json::array();
};

} // namespace goldcrestcleat::harness
