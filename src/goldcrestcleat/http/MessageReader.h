#pragma once

#include "goldcrestcleat/errors/ResultCode.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

/// HTTP/1.1 on the event loop; message heads are parsed and written by POCO Net.
namespace goldcrestcleat::http {

/// Returns the memory that a string takes beside the object itself, in bytes.
inline std::size_t heapBytes(const std::string& text)
{
    return text.capacity() > std::string().capacity() ? text.capacity() : 0;
}

/// Maximum sizes of one message, in bytes.
struct Limits {
    std::size_t headBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
};

/// Incremental HTTP/1.1 parser: splits a byte stream into messages. Decodes body framing itself, heads through POCO.
///
/// One reader serves one direction of one connection. Its hooks run inside `feed`.
class MessageReader {
public:
    enum class Kind { Request, Response };

    struct Hooks {
        std::function<void(const Poco::Net::HTTPRequest&)> onRequestHead;
        std::function<void(const Poco::Net::HTTPResponse&)> onResponseHead;
        std::function<void(std::string_view)> onBody;
        std::function<void()> onEnd;
        std::function<void(errors::ResultCode, const std::string& context)> onError; ///< no hook is called after it
    };

    MessageReader(Kind kind, const Limits& limits, Hooks hooks);

    /// Parses bytes up to the end of the current message; the rest stays buffered until `next`.
    void feed(std::string_view bytes);

    /// Continues with the buffered bytes after a complete message.
    void next();

    /// Signals that the sender has closed the connection, which completes a body that extends to the end of the stream.
    void endOfStream();

    /// Returns whether the body being read extends to the end of the stream.
    bool isDelimitedByClose() const { return state_ == State::UntilClose; }

    /// Returns the number of buffered bytes that have not been parsed.
    std::size_t buffered() const { return buffer_.size() - consumed_; }

    /// Returns the memory that the buffer takes beside this object.
    std::size_t bufferBytes() const { return heapBytes(buffer_); }

    /// Discards the buffered bytes and all later ones.
    void abandon();

    /// Changes the limits, effective from the next message head.
    void setLimits(const Limits& limits) { limits_ = limits; }

    /// Marks the next response as one without a body, as responses to HEAD are whatever their head states.
    void expectNoBody() { noBody_ = true; }

private:
    enum class State { Head, SizedBody, ChunkSize, ChunkData, ChunkEnd, Trailer, UntilClose, Done, Failed };

    void advance();
    void releaseBuffer();
    bool step();
    bool readHead();
    bool parseHead(const std::string& head);
    bool selectFraming(const Poco::Net::HTTPMessage& head, bool bodyPossible);
    bool readSizedData(State nextState);
    bool readChunkSize();
    bool readLine(std::string& line);
    bool deliver(std::size_t count);
    void finish();
    bool fail(errors::ResultCode code, const std::string& context);

    Kind kind_;
    Limits limits_;
    Hooks hooks_;
    State state_ = State::Head;
    std::string buffer_;
    std::size_t consumed_ = 0; // bytes of the buffer that have been parsed
    std::size_t remaining_ = 0; // bytes left of a sized body or of a chunk
    std::size_t bodyBytes_ = 0;
    std::size_t trailerBytes_ = 0;
    int interimResponses_ = 0; // since the last final response
    bool noBody_ = false;
};

} // namespace goldcrestcleat::http
