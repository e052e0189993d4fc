#include "goldcrestcleat/http/Exchange.h"

#include "goldcrestcleat/http/MessageReader.h"
#include "goldcrestcleat/http/ServerSession.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>

#include <cstdio>
#include <sstream>

namespace goldcrestcleat::http {

namespace {

    constexpr std::size_t MAX_UNUSED_BODY_BYTES = 64 * 1024; // of the memory of a complete body
    constexpr std::size_t FIELD_OVERHEAD_BYTES = 128; // of a header field: two strings and its place in a list
    constexpr std::size_t MAX_COPIED_BODY_BYTES = 64 * 1024; // sent together with the head

    std::string serializeHead(int status, const Fields& fields)
    {
        Poco::Net::HTTPResponse response(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
        response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
        for (const auto& [name, value] : fields)
            response.add(name, value);
        std::ostringstream out;
        response.write(out);
        return out.str();
    }

    std::string encodeChunk(std::string_view part)
    {
        char size[20];
        const int digits = std::snprintf(size, sizeof size, "%zx\r\n", part.size());
        std::string bytes;
        bytes.reserve(part.size() + static_cast<std::size_t>(digits) + 2);
        bytes.append(size, static_cast<std::size_t>(digits)).append(part).append("\r\n");
        return bytes;
    }

} // namespace

Exchange::Exchange(
    std::weak_ptr<ServerSession> session, const Poco::Net::HTTPRequest& head, std::shared_ptr<InputMemory> memory)
    : session_(std::move(session))
    , head_(head)
    , memory_(std::move(memory))
{
    const Poco::URI uri(head_.getURI());
    path_ = uri.getPath();
    query_ = uri.getQueryParameters();
    for (const auto& [name, value] : head_)
        headBytes_ += FIELD_OVERHEAD_BYTES + name.size() + value.size();
    countBytes();
}

void Exchange::appendBody(std::string_view part)
{
    body_.append(part);
    countBytes();
}

/// Releases the memory that was reserved for further growth.
void Exchange::finishBody()
{
    if (body_.capacity() - body_.size() > MAX_UNUSED_BODY_BYTES)
        body_.shrink_to_fit();
    countBytes();
}

void Exchange::countBytes()
{
    const auto counted = static_cast<std::ptrdiff_t>(headBytes_ + heapBytes(body_));
    memory_->change(counted - countedBytes_);
    countedBytes_ = counted;
}

std::string Exchange::query(const std::string& name) const
{
    for (const auto& [key, value] : query_) {
        if (key == name)
            return value;
    }
    return "";
}

void Exchange::reply(int status, const Fields& fields, std::string_view body)
{
    const auto session = session_.lock();
    if (!session || responded_)
        return;
    responded_ = true;
    const bool keepAlive = head_.getKeepAlive() && !session->closesAfterResponse();
    Fields all = fields;
    all.emplace_back("Content-Length", std::to_string(body.size()));
    all.emplace_back("Connection", keepAlive ? "Keep-Alive" : "close");
    std::string bytes = serializeHead(status, all);
    if (head_.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD)
        body = {};
    if (body.size() <= MAX_COPIED_BODY_BYTES) {
        bytes.append(body);
        body = {};
    }
    session->write(bytes);
    if (!body.empty())
        session->write(body);
    session->endExchange(keepAlive);
}

void Exchange::startStream(int status, const Fields& fields)
{
    const auto session = session_.lock();
    if (!session || responded_ || streaming_)
        return;
    streaming_ = true;
    Fields all = fields;
    all.emplace_back("Transfer-Encoding", "chunked");
    isKept_ = head_.getKeepAlive() && !session->closesAfterResponse();
    all.emplace_back("Connection", isKept_ ? "Keep-Alive" : "close");
    session->write(serializeHead(status, all));
}

void Exchange::write(std::string_view part)
{
    const auto session = session_.lock();
    if (session && streaming_ && !part.empty())
        session->write(encodeChunk(part));
}

void Exchange::finishStream()
{
    const auto session = session_.lock();
    if (!session || !streaming_ || responded_)
        return;
    responded_ = true;
    streaming_ = false;
    session->write("0\r\n\r\n");
    session->endExchange(isKept_);
}

void Exchange::truncateStream()
{
    const auto session = session_.lock();
    if (!session || !streaming_ || responded_)
        return;
    responded_ = true;
    streaming_ = false;
    session->endExchange(false);
}

void Exchange::abort()
{
    responded_ = true;
    if (const auto session = session_.lock())
        session->abort();
}

std::size_t Exchange::backlog() const
{
    const auto session = session_.lock();
    return session ? session->backlog() : 0;
}

} // namespace goldcrestcleat::http
