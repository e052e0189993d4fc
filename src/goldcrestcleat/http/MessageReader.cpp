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
    constexpr std::size_t KEPT_BUFFER_BYTES = 1024; // of the memory of a buffer that has been parsed
    constexpr int MAX_INTERIM_RESPONSES = 8; // before a final response; more are sent only by a faulty server
    constexpr const char* HEAD_END = "\r\n\r\n";

    bool hasControlCharacters(const std::string& head)
    {
        return std::any_of(head.begin(), head.end(),
            [](unsigned char c) { return (c < 0x20 && c != '\r' && c != '\n' && c != '\t') || c == 0x7f; });
    }

    bool isTokenCharacter(char c)
    {
        static const std::string symbols = "!#$%&'*+-.^_`|~";
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || symbols.find(c) != std::string::npos;
    }

    /// Returns whether a field line is not of the form `name: value` with a token as its name. The next hop could frame
    /// a message differently if a name is followed by white space or a line is folded.
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

    /// Returns whether a CR or LF occurs on its own. Parsers differ in how they split such a head into lines.
    bool hasBareLineBreak(const std::string& head)
    {
        for (std::size_t i = 0; i < head.size(); ++i) {
            const bool isBareLf = head[i] == '\n' && (i == 0 || head[i - 1] != '\r');
            const bool isBareCr = head[i] == '\r' && (i + 1 == head.size() || head[i + 1] != '\n');
            if (isBareLf || isBareCr)
                return true;
        }
        return false;
    }

    std::ptrdiff_t countFields(const Poco::Net::MessageHeader& head, const std::string& name)
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

    /// Returns whether the status code is in one of the five classes, 1xx to 5xx; POCO casts any number to its enum.
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
    if (state_ == State::Failed)
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
    trailerBytes_ = 0;
    interimResponses_ = 0;
    noBody_ = false;
    advance();
}

void MessageReader::endOfStream()
{
    if (state_ == State::UntilClose)
        finish();
}

void MessageReader::abandon()
{
    state_ = State::Failed;
    buffer_ = std::string();
    consumed_ = 0;
}

// ---- private ----

void MessageReader::advance()
{
    while (state_ != State::Done && state_ != State::Failed && step()) { }
    buffer_.erase(0, consumed_);
    consumed_ = 0;
    releaseBuffer();
}

/// Returns the memory that a large read took: many connections would each keep it until they close.
void MessageReader::releaseBuffer()
{
    if (buffer_.capacity() > KEPT_BUFFER_BYTES && buffer_.size() < buffer_.capacity() / 2)
        buffer_.shrink_to_fit();
}

bool MessageReader::step()
{
    std::string line;
    switch (state_) {
    case State::Head:
        return readHead();
    case State::SizedBody:
        return readSizedData(State::Done);
    case State::ChunkSize:
        return readChunkSize();
    case State::ChunkData:
        return readSizedData(State::ChunkEnd);
    case State::ChunkEnd:
        if (!readLine(line))
            return false;
        if (!line.empty())
            return fail(ResultCode::MalformedRequest, "chunk data exceeds the stated chunk size");
        state_ = State::ChunkSize;
        return true;
    case State::Trailer:
        if (!readLine(line))
            return false;
        trailerBytes_ += line.size();
        if (trailerBytes_ > limits_.headBytes)
            return fail(ResultCode::HeadTooLarge, "trailers exceed the size limit of message heads");
        if (line.empty())
            finish();
        return true;
    case State::UntilClose:
        return deliver(buffered());
    case State::Done:
    case State::Failed:
        break;
    }
    return false;
}

bool MessageReader::readHead()
{
    if (kind_ == Kind::Request) {
        consumed_ = std::min(buffer_.find_first_not_of("\r\n", consumed_), buffer_.size());
    }
    const auto end = buffer_.find(HEAD_END, consumed_);
    if (end == std::string::npos) {
        if (buffered() > limits_.headBytes)
            return fail(ResultCode::HeadTooLarge, "end of message head not found within the size limit");
        return false;
    }
    const std::size_t headSize = end + 4 - consumed_;
    if (headSize > limits_.headBytes)
        return fail(
            ResultCode::HeadTooLarge, std::to_string(headSize) + " bytes exceed the size limit of message heads");
    const std::string head = buffer_.substr(consumed_, headSize);
    consumed_ += headSize;
    if (hasControlCharacters(head))
        return fail(ResultCode::MalformedRequest, "control character in message head");
    if (hasBareLineBreak(head) || hasBadFieldLine(head))
        return fail(ResultCode::MalformedRequest, "malformed header field line");
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
                return fail(ResultCode::MalformedRequest, "unsupported HTTP version");
            if (!selectFraming(request, true))
                return false;
            hooks_.onRequestHead(request);
        } else {
            if (!hasKnownStatus(head))
                return fail(ResultCode::MalformedRequest, "invalid HTTP status code");
            Poco::Net::HTTPResponse response;
            response.read(in);
            const int status = response.getStatus();
            if (response.getVersion() != "HTTP/1.1" && response.getVersion() != "HTTP/1.0")
                return fail(ResultCode::MalformedRequest, "not an HTTP/1.0 or HTTP/1.1 response");
            if (status < 200) { // an interim response; the final one follows
                if (++interimResponses_ > MAX_INTERIM_RESPONSES)
                    return fail(ResultCode::MalformedRequest, "too many interim responses");
                return true;
            }
            const bool bodyPossible = !noBody_ && status >= 200 && status != 204 && status != 304;
            if (!selectFraming(response, bodyPossible))
                return false;
            hooks_.onResponseHead(response);
        }
    } catch (const Poco::Exception& e) {
        return fail(ResultCode::MalformedRequest, e.displayText());
    }
    if (state_ == State::SizedBody && remaining_ == 0)
        finish();
    return state_ != State::Failed;
}

bool MessageReader::selectFraming(const Poco::Net::HTTPMessage& head, bool bodyPossible)
{
    state_ = State::SizedBody;
    remaining_ = 0;
    if (!bodyPossible)
        return true;
    const bool hasLength = head.has("Content-Length");
    if (countFields(head, "Content-Length") > 1 || countFields(head, "Transfer-Encoding") > 1)
        return fail(ResultCode::MalformedRequest, "duplicate Content-Length or Transfer-Encoding field");
    if (head.has("Transfer-Encoding")) {
        if (hasLength || head.getVersion() == "HTTP/1.0"
            || Poco::icompare(head.get("Transfer-Encoding"), "chunked") != 0)
            return fail(ResultCode::MalformedRequest, "unsupported Transfer-Encoding");
        state_ = State::ChunkSize;
        return true;
    }
    if (hasLength) {
        if (!parseNumber(head.get("Content-Length"), 10, remaining_))
            return fail(ResultCode::MalformedRequest, "invalid Content-Length");
        if (remaining_ > limits_.bodyBytes)
            return fail(
                ResultCode::BodyTooLarge, std::to_string(remaining_) + " bytes exceed the size limit of bodies");
        return true;
    }
    if (kind_ == Kind::Response)
        state_ = State::UntilClose;
    return true;
}

bool MessageReader::readSizedData(State nextState)
{
    const std::size_t count = std::min(remaining_, buffered());
    if (count == 0)
        return false;
    remaining_ -= count;
    if (!deliver(count))
        return false;
    if (remaining_ > 0)
        return false;
    if (nextState == State::Done)
        finish();
    else
        state_ = nextState;
    return true;
}

bool MessageReader::readChunkSize()
{
    std::string line;
    if (!readLine(line))
        return false;
    const std::string digits = line.substr(0, line.find(';'));
    if (!parseNumber(digits, 16, remaining_))
        return fail(ResultCode::MalformedRequest, "invalid chunk size");
    if (remaining_ > limits_.bodyBytes)
        return fail(ResultCode::BodyTooLarge, "chunk size exceeds the body limit");
    state_ = remaining_ == 0 ? State::Trailer : State::ChunkData;
    return true;
}

bool MessageReader::readLine(std::string& line)
{
    const auto end = buffer_.find("\r\n", consumed_);
    if (end == std::string::npos) {
        if (buffered() > MAX_CHUNK_LINE_BYTES)
            fail(ResultCode::MalformedRequest, "chunk size or trailer line too long");
        return false;
    }
    line.assign(buffer_, consumed_, end - consumed_);
    consumed_ = end + 2;
    return true;
}

bool MessageReader::deliver(std::size_t count)
{
    if (count == 0)
        return false;
    bodyBytes_ += count;
    if (bodyBytes_ > limits_.bodyBytes)
        return fail(ResultCode::BodyTooLarge, "body exceeds the size limit");
    const std::string_view part(buffer_.data() + consumed_, count);
    consumed_ += count;
    hooks_.onBody(part);
    return state_ != State::Failed; // the hook may have abandoned the message
}

void MessageReader::finish()
{
    state_ = State::Done;
    hooks_.onEnd();
}

bool MessageReader::fail(ResultCode code, const std::string& context)
{
    state_ = State::Failed;
    hooks_.onError(code, context);
    return false;
}

} // namespace goldcrestcleat::http
