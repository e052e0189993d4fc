#include "harness/Caller.h"

#include "../../standins/AnswerText.h"
#include "goldcrestcleat/http/MessageReader.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <Poco/Timestamp.h>

#include <sstream>

namespace goldcrestcleat::harness {

using nlohmann::json;

namespace {

    constexpr http::Limits ANSWER_LIMITS { 64 * 1024, 64 * 1024 * 1024 };

    /// Receives an answer up to its end. The streams of POCO's sessions hide errors of the connection and ends between
    /// two chunks.
    void receive(Poco::Net::StreamSocket& socket, bool isHead, bool wasSent, Answer& answer)
    {
        bool isInvalid = false;
        http::MessageReader::Hooks hooks;
        hooks.onResponseHead = [&](const Poco::Net::HTTPResponse& head) {
            answer.status = head.getStatus();
            for (const auto& [name, value] : head)
                answer.headers[name] = value;
        };
        hooks.onBody = [&](std::string_view part) { answer.body.append(part); };
        hooks.onEnd = [&] { answer.isBroken = false; };
        hooks.onError = [&](errors::ResultCode, const std::string&) { isInvalid = true; };
        http::MessageReader reader(http::MessageReader::Kind::Response, ANSWER_LIMITS, std::move(hooks));
        if (isHead)
            reader.expectNoBody();
        char buffer[8192];
        while (answer.isBroken && !isInvalid) {
            const int count = socket.receiveBytes(buffer, sizeof buffer);
            if (count <= 0) {
                if (wasSent) // otherwise the write has taken the error of the connection
                    reader.endOfStream();
                return;
            }
            reader.feed(std::string_view(buffer, static_cast<std::size_t>(count)));
        }
    }

} // namespace

int Answer::errorCode() const
{
    const nlohmann::json document = json();
    return document.is_object() && document.contains("error") ? document["error"].value("code", 0) : 0;
}

std::string Answer::executed() const
{
    const nlohmann::json document = json();
    return document.is_object() && document.contains("error") ? document["error"].value("executed", "") : "";
}

Answer call(const std::string& address, const std::string& method, const std::string& target, const std::string& body,
    const Headers& headers, int timeoutMs)
{
    Answer answer;
    answer.isBroken = true; // until its end
    try {
        Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(address) };
        session.setTimeout(Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(timeoutMs) * 1000));
        Poco::Net::HTTPRequest request(method, target, Poco::Net::HTTPMessage::HTTP_1_1);
        for (const auto& [name, value] : headers)
            request.set(name, value);
        if (!body.empty() || method == "POST")
            request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        std::ostream& out = session.sendRequest(request);
        out << body << std::flush;
        receive(session.socket(), method == "HEAD", out.good(), answer);
    } catch (const Poco::Exception&) {
        // What has been received so far is returned.
    }
    return answer;
}

std::string callRaw(const std::string& address, const std::string& bytes, int timeoutMs, bool closeWriting)
{
    std::string received;
    const Poco::Timestamp start;
    try {
        Poco::Net::StreamSocket socket { Poco::Net::SocketAddress(address) };
        socket.setReceiveTimeout(Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(timeoutMs) * 1000));
        std::size_t sent = 0;
        while (sent < bytes.size())
            sent += static_cast<std::size_t>(
                socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
        if (closeWriting)
            socket.shutdownSend();
        char buffer[8192];
        while (!start.isElapsed(static_cast<Poco::Timestamp::TimeDiff>(timeoutMs) * 1000)) {
            const int count = socket.receiveBytes(buffer, sizeof buffer);
            if (count <= 0)
                break;
            received.append(buffer, static_cast<std::size_t>(count));
        }
    } catch (const Poco::Exception&) {
        // The bytes received so far are returned.
    }
    return received;
}

StreamAnswer readEvents(const Answer& answer)
{
    StreamAnswer result;
    result.status = answer.status;
    result.headers = answer.headers;
    if (answer.status != 200) {
        result.errorCode = answer.errorCode();
        result.executed = answer.executed();
        return result;
    }
    std::istringstream lines(answer.body);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.rfind("data: ", 0) != 0)
            continue;
        if (line == "data: [DONE]") {
            result.isComplete = true;
            continue;
        }
        const json event = json::parse(line.substr(6), nullptr, false);
        if (!event.is_object())
            continue;
        if (event.contains("error")) {
            result.errorCode = event["error"].value("code", 0);
            result.executed = event["error"].value("executed", "");
            continue;
        }
        const json& choice = event["choices"][0];
        if (choice["delta"].contains("content")) {
            result.text += choice["delta"]["content"].get<std::string>();
            ++result.parts;
        }
        result.hasFinishReason = result.hasFinishReason || choice["finish_reason"].is_string();
    }
    return result;
}

Chat::Chat(std::string workspace, std::string key, std::string id)
    : workspace_(std::move(workspace))
    , key_(std::move(key))
    , id_(std::move(id))
{
}

StreamAnswer Chat::send(const std::string& address, const std::string& text, std::size_t parts, const Headers& more)
{
    json messages = history_;
    messages.push_back({ { "role", "user" }, { "content", text } });
    Headers headers = { { "X-Workspace", workspace_ }, { "Authorization", "Bearer " + key_ }, { "X-Chat", id_ } };
    if (!affinityToken_.empty())
        headers["X-Hint"] = affinityToken_;
    for (const auto& [name, value] : more)
        headers[name] = value;
    const json body = { { "messages", messages }, { "stream", true }, { "max_tokens", parts } };
    StreamAnswer answer = readEvents(call(address, "POST", "/v1/chat/completions", body.dump(), headers));
    if (answer.isComplete) {
        history_ = messages;
        history_.push_back({ { "role", "assistant" }, { "content", answer.text } });
        const auto header = [&](const char* name) { return answer.headers.count(name) ? answer.headers.at(name) : ""; };
        affinityToken_ = header("X-Hint");
        servedBy_ = header("X-Served-By");
    }
    return answer;
}

std::string Chat::expectedAnswer(const std::string& text, std::size_t parts) const
{
    json messages = history_;
    messages.push_back({ { "role", "user" }, { "content", text } });
    return standins::answerText(standins::conversationHash(messages), parts);
}

} // namespace goldcrestcleat::harness
