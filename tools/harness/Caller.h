#pragma once

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace goldcrestcleat::harness {

/// An HTTP answer, read to its end.
struct Answer {
    int status = 0; ///< 0 if the connection failed before the head was received
    std::string body;
    std::map<std::string, std::string> headers;
    bool isBroken = false; ///< the connection failed before the end of the answer

    nlohmann::json json() const { return nlohmann::json::parse(body, nullptr, false); }

    /// Returns the error's result code, or 0.
    int errorCode() const;

    /// Returns the error's `executed` member, or an empty string.
    std::string executed() const;
};

using Headers = std::map<std::string, std::string>;

/// Sends an HTTP request over a new connection and waits for the end of the answer.
Answer call(const std::string& address, const std::string& method, const std::string& target,
    const std::string& body = "", const Headers& headers = {}, int timeoutMs = 30'000);

/// Sends raw bytes over a new connection and returns all bytes that are received until it is closed or `timeoutMs` has
/// elapsed. With `closeWriting` the write side is shut down after sending.
std::string callRaw(
    const std::string& address, const std::string& bytes, int timeoutMs = 5'000, bool closeWriting = false);

/// The parts of a streamed answer that a caller received.
struct StreamAnswer {
    int status = 0;
    std::string text; ///< concatenation of all parts
    std::size_t parts = 0;
    bool isComplete = false; ///< the end marker was received
    bool hasFinishReason = false;
    int errorCode = 0;
    std::string executed;
    std::map<std::string, std::string> headers;
};

/// Parses the events of an answer.
StreamAnswer readEvents(const Answer& answer);

/// A chat of a caller, with its history.
class Chat {
public:
    Chat(std::string workspace, std::string key, std::string id);

    /// Sends a message and waits for the streamed answer. The message and a complete answer are added to the history.
    StreamAnswer send(
        const std::string& address, const std::string& text, std::size_t parts = 8, const Headers& more = {});

    /// Returns the answer of the stand-in engines to a message after the current history.
    std::string expectedAnswer(const std::string& text, std::size_t parts) const;

    void clearAffinityToken() { affinityToken_.clear(); }
    void setAffinityToken(const std::string& affinityToken) { affinityToken_ = affinityToken; }
    const std::string& affinityToken() const { return affinityToken_; }
    const std::string& servedBy() const { return servedBy_; }

private:
    std::string workspace_;
    std::string key_;
    std::string id_;
    std::string affinityToken_;
    std::string servedBy_;
    nlohmann::json history_ = nlohmann::json::array();
};

} // namespace goldcrestcleat::harness
