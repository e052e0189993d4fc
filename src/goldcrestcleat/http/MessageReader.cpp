#include "goldcrestcleat/http/MessageReader.h"

#include <Poco/Exception.h>
#include <Poco/String.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <sstream>

namespace goldcrestcleat::http {

using errors::ResultCode;

namespace {

    constexpr std::size_t MAX_CHUNK_LINE_BYTES = 256;
    constexpr const char* HEAD_END = "\r\n\r\n";

    bool hasControlBytes(const std::string& head)
    {
        return std::any_of(head.begin(), head.end(),
            [](unsigned char c) { return (c < 0x20 && c != '\r' && c != '\n' && c != '\t') || c == 0x7f; });
    }

    bool isTokenCharacter(char c)
    {
        static const std::string others = "!#$%&'*+-.^_`|~";
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || others.find(c) != std::string::npos;
    }

    /// Checks that every field line is `name: value` with a token for its name. A name with a blank before the colon
    /// or a folded line could be framed differently by the next hop.
    bool hasBadFieldLine(const std::string& head)
    {
        std::size_t start = head.find("\r\n");
        while (start != std::string::npos && start + 4 < head.size()) {
            start += 2;
            const auto end = head.find("\r\n", start);
            const auto colon = head.find(':', start);
            if (colon == std::string::npos || colon >= end || colon == start)
                return true;
            if (!std::all_of(head.begin() + static_cast<std::ptrdiff_t>(start),
                    head.begin() + static_cast<std::ptrdiff_t>(colon), isTokenCharacter))
                return true;
            start = end;
        }
        return false;
    }

    /// A carriage return or line feed that stands alone splits a head differently at different readers.
    bool hasBareLineBreak(const std::string& head)
    {
        for (std::size_t i = 0; i < head.size(); ++i) {
            const bool loneFeed = head[i] == '\n' && (i == 0 || head[i - 1] != '\r');
            const bool loneReturn = head[i] == '\r' && (i + 1 == head.size() || head[i + 1] != '\n');
            if (loneFeed || loneReturn)
                return true;
        }
        return false;
    }

    std::ptrdiff_t countOf(const Poco::Net::MessageHeader& head, const std::string& name)
    {
        return std::count_if(
            head.begin(), head.end(), [&](const auto& field) { return Poco::icompare(field.first, name) == 0; });
    }

    bool parseNumber(const std::string& text, int base, std::size_t& value)
    {
        const char* end = text.data() + text.size();
        const auto result = std::from_chars(text.data(), end, value, base);
        return !text.empty() && result.ec == std::errc() && result.ptr == end;
    }

    /// Says whether a status line's number is one of the five classes; POCO reads any number into its enumeration.
    bool hasKnownStatus(const std::string& head)
    {
        const auto space = head.find(' ');
        if (space == std::string::npos || space + 3 >= head.size())
            return false;
        const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
        const char first = head[space + 1];
        const bool isNumber = first >= '1' && first <= '5' && isDigit(head[space + 2]) && isDigit(head[space + 3]);
        return isNumber && !(space + 4 < head.size() && isDigit(head[space + 4]));
    }

} // namespace

MessageReader::MessageReader(Kind kind, const Limits& limits, Hooks hooks)
    : kind_(kind)
    , limits_(limits)
    , hooks_(std::move(hooks))
{
}

void MessageReader::feed(std::string_view bytes)
{
    if (state_ == State::Faulty)
        return;
    buffer_.append(bytes);
    advance();
}

void MessageReader::next()
{
    if (state_ != State::Done)
        return;
    state_ = State::Head;
    bodyBytes_ = 0;
    noBody_ = false;
    advance();
}

void MessageReader::endOfStream()
{
    if (state_ == State::UntilClose)
        finish();
}

// ---- private ----

void MessageReader::advance()
{
    while (state_ != State::Done && state_ != State::Faulty && step()) { }
    buffer_.erase(0, start_);
    start_ = 0;
}

bool MessageReader::step()
{
    std::string line;
    switch (state_) {
    case State::Head:
        return readHead();
    case State::Fixed:
        return readCounted(State::Done);
    case State::ChunkSize:
        return readChunkSize();
    case State::ChunkData:
        return readCounted(State::ChunkEnd);
    case State::ChunkEnd:
        if (!readLine(line))
            return false;
        if (!line.empty())
            return fault(ResultCode::MalformedRequest, "chunk is longer than its size line says");
        state_ = State::ChunkSize;
        return true;
    case State::Trailer:
        if (!readLine(line))
            return false;
        if (line.empty())
            finish();
        return true;
    case State::UntilClose:
        return deliver(buffered());
    case State::Done:
    case State::Faulty:
        break;
    }
    return false;
}

bool MessageReader::readHead()
{
    if (kind_ == Kind::Request) {
        start_ = std::min(buffer_.find_first_not_of("\r\n", start_), buffer_.size());
    }
    const auto end = buffer_.find(HEAD_END, start_);
    if (end == std::string::npos) {
        if (buffered() > limits_.headBytes)
            return fault(ResultCode::HeadTooLarge, "no end of head within the limit");
        return false;
    }
    const std::size_t headSize = end + 4 - start_;
    if (headSize > limits_.headBytes)
        return fault(ResultCode::HeadTooLarge, std::to_string(headSize) + " bytes");
    const std::string head = buffer_.substr(start_, headSize);
    start_ += headSize;
    if (hasControlBytes(head))
        return fault(ResultCode::MalformedRequest, "control byte in the head");
    if (hasBareLineBreak(head) || hasBadFieldLine(head))
        return fault(ResultCode::MalformedRequest, "malformed field line in the head");
    return parseHead(head);
}

bool MessageReader::parseHead(const std::string& head)
{
    std::istringstream in(head);
    try {
        if (kind_ == Kind::Request) {
            Poco::Net::HTTPRequest request;
            request.read(in);
            if (request.getVersion() != "HTTP/1.1" && request.getVersion() != "HTTP/1.0")
                return fault(ResultCode::MalformedRequest, "unsupported HTTP version");
            if (!chooseFraming(request, true))
                return false;
            hooks_.onRequestHead(request);
        } else {
            if (!hasKnownStatus(head))
                return fault(ResultCode::MalformedRequest, "not an HTTP status");
            Poco::Net::HTTPResponse response;
            response.read(in);
            const int status = response.getStatus();
            if (response.getVersion() != "HTTP/1.1" && response.getVersion() != "HTTP/1.0")
                return fault(ResultCode::MalformedRequest, "not an HTTP answer");
            if (status < 200)
                return true; // an interim answer; the real one follows
            const bool bodyPossible = !noBody_ && status >= 200 && status != 204 && status != 304;
            if (!chooseFraming(response, bodyPossible))
                return false;
            hooks_.onResponseHead(response);
        }
    } catch (const Poco::Exception& e) {
        return fault(ResultCode::MalformedRequest, e.displayText());
    }
    if (state_ == State::Fixed && remaining_ == 0)
        finish();
    return state_ != State::Faulty;
}

bool MessageReader::chooseFraming(const Poco::Net::HTTPMessage& head, bool bodyPossible)
{
    state_ = State::Fixed;
    remaining_ = 0;
    if (!bodyPossible)
        return true;
    const bool hasLength = head.has("Content-Length");
    if (countOf(head, "Content-Length") > 1 || countOf(head, "Transfer-Encoding") > 1)
        return fault(ResultCode::MalformedRequest, "framing field given twice");
    if (head.has("Transfer-Encoding")) {
        if (hasLength || head.getVersion() == "HTTP/1.0"
            || Poco::icompare(head.get("Transfer-Encoding"), "chunked") != 0)
            return fault(ResultCode::MalformedRequest, "unsupported Transfer-Encoding");
        state_ = State::ChunkSize;
        return true;
    }
    if (hasLength) {
        if (!parseNumber(head.get("Content-Length"), 10, remaining_))
            return fault(ResultCode::MalformedRequest, "bad Content-Length");
        if (remaining_ > limits_.bodyBytes)
            return fault(ResultCode::BodyTooLarge, std::to_string(remaining_) + " bytes");
        return true;
    }
    if (kind_ == Kind::Response)
        state_ = State::UntilClose;
    return true;
}

bool MessageReader::readCounted(State after)
{
    const std::size_t count = std::min(remaining_, buffered());
    if (count == 0)
        return false;
    remaining_ -= count;
    if (!deliver(count))
        return false;
    if (remaining_ > 0)
        return false;
    if (after == State::Done)
        finish();
    else
        state_ = after;
    return true;
}

bool MessageReader::readChunkSize()
{
    std::string line;
    if (!readLine(line))
        return false;
    const std::string digits = line.substr(0, line.find(';'));
    if (!parseNumber(digits, 16, remaining_))
        return fault(ResultCode::MalformedRequest, "bad chunk size");
    if (remaining_ > limits_.bodyBytes)
        return fault(ResultCode::BodyTooLarge, "chunk over the limit");
    state_ = remaining_ == 0 ? State::Trailer : State::ChunkData;
    return true;
}

bool MessageReader::readLine(std::string& line)
{
    const auto end = buffer_.find("\r\n", start_);
    if (end == std::string::npos) {
        if (buffered() > MAX_CHUNK_LINE_BYTES)
            fault(ResultCode::MalformedRequest, "chunk line too long");
        return false;
    }
    line.assign(buffer_, start_, end - start_);
    start_ = end + 2;
    return true;
}

bool MessageReader::deliver(std::size_t count)
{
    if (count == 0)
        return false;
    bodyBytes_ += count;
    if (bodyBytes_ > limits_.bodyBytes)
        return fault(ResultCode::BodyTooLarge, "body over the limit");
    const std::string_view part(buffer_.data() + start_, count);
    start_ += count;
    hooks_.onBody(part);
    return true;
}

void MessageReader::finish()
{
    state_ = State::Done;
    hooks_.onEnd();
}

bool MessageReader::fault(ResultCode code, const std::string& context)
{
    state_ = State::Faulty;
    hooks_.onFault(code, context);
    return false;
}

} // namespace goldcrestcleat::http
