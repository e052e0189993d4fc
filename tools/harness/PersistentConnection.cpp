#include "harness/PersistentConnection.h"

#include "goldcrestcleat/forwarding/EventReader.h"
#include "goldcrestcleat/http/MessageReader.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timestamp.h>

namespace goldcrestcleat::harness {

namespace {

    constexpr long CONNECT_TIMEOUT_US = 1'000'000; // callers allow 1 s for opening a connection
    constexpr long RECEIVE_TIMEOUT_US = 50'000;
    constexpr long US_PER_MS = 1'000;

} // namespace

ConnectionAnswer PersistentConnection::call(
    const std::string& method, const std::string& path, const Headers& headers, int timeoutMs)
{
    std::string request = method + " " + path + " HTTP/1.1\r\nContent-Length: 0\r\n";
    for (const auto& [name, value] : headers)
        request.append(name).append(": ").append(value).append("\r\n");
    if (!send(request + "\r\n"))
        return {};
    return receive(timeoutMs);
}

// ---- private ----

bool PersistentConnection::send(const std::string& bytes)
{
    try {
        if (!socket_) {
            socket_ = std::make_unique<Poco::Net::StreamSocket>();
            socket_->connect(Poco::Net::SocketAddress(address_), Poco::Timespan(CONNECT_TIMEOUT_US));
        }
        socket_->setReceiveTimeout(Poco::Timespan(RECEIVE_TIMEOUT_US));
        socket_->sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        return true;
    } catch (const Poco::Exception&) {
        socket_.reset();
        return false;
    }
}

ConnectionAnswer PersistentConnection::receive(int timeoutMs)
{
    ConnectionAnswer answer;
    bool isStream = false;
    bool mustClose = false;
    forwarding::EventReader events;
    http::MessageReader::Hooks hooks;
    hooks.onResponseHead = [&](const Poco::Net::HTTPResponse& head) {
        answer.status = head.getStatus();
        answer.isSigned = head.has("Server-Seal");
        answer.requestId = head.get("Request-Id", "");
        isStream = head.getChunkedTransferEncoding();
        mustClose = !head.getKeepAlive();
    };
    hooks.onBody = [&](std::string_view part) {
        answer.body.append(part);
        if (!isStream)
            return;
        events.feed(part, [&](const forwarding::StreamEvent& event) {
            answer.eventIds.push_back(event.id.value_or(0));
            return true;
        });
    };
    hooks.onEnd = [&] { answer.isComplete = true; };
    hooks.onError = [](errors::ResultCode, const std::string&) {};
    http::MessageReader reader(http::MessageReader::Kind::Response, { 16 * 1024, 1024 * 1024 }, std::move(hooks));
    char buffer[8192];
    const Poco::Timestamp start;
    while (!answer.isComplete && !start.isElapsed(timeoutMs * US_PER_MS)) {
        try {
            const int count = socket_->receiveBytes(buffer, sizeof buffer);
            if (count <= 0)
                break;
            reader.feed(std::string_view(buffer, static_cast<std::size_t>(count)));
        } catch (const Poco::TimeoutException&) {
            continue;
        } catch (const Poco::Exception&) {
            break;
        }
    }
    answer.hasPartialEvent = events.hasPartialEvent();
    if (!answer.isComplete || mustClose)
        socket_.reset();
    return answer;
}

} // namespace goldcrestcleat::harness
