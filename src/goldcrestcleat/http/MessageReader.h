#pragma once

#include "goldcrestcleat/errors/ResultCode.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

/// HTTP/1.1 over the event loop; heads are parsed and written by POCO Net.
namespace goldcrestcleat::http {

/// Upper sizes of one message, in bytes.
struct Limits {
    std::size_t headBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
};

/// Cuts a byte stream into HTTP messages; the body's framing is read here, heads by POCO.
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
        std::function<void(errors::ResultCode, const std::string& context)> onFault; ///< no hook is called after it
    };

    MessageReader(Kind kind, const Limits& limits, Hooks hooks);

    /// Reads bytes up to the end of the current message; what follows stays buffered until `next`.
    void feed(std::string_view bytes);

    /// Goes on with the bytes after a finished message.
    void next();

    /// Tells the reader that the sender closed; ends a body framed by the end of the stream.
    void endOfStream();

    /// Returns the number of bytes held for later messages.
    std::size_t buffered() const { return buffer_.size() - start_; }

    /// Changes the limits, from the next head on.
    void setLimits(const Limits& limits) { limits_ = limits; }

    /// Responses to HEAD carry no body whatever their head says.
    void expectNoBody() { noBody_ = true; }

private:
    enum class State { Head, Fixed, ChunkSize, ChunkData, ChunkEnd, Trailer, UntilClose, Done, Faulty };

    void advance();
    bool step();
    bool readHead();
    bool parseHead(const std::string& head);
    bool chooseFraming(const Poco::Net::HTTPMessage& head, bool bodyPossible);
    bool readCounted(State after);
    bool readChunkSize();
    bool readLine(std::string& line);
    bool deliver(std::size_t count);
    void finish();
    bool fault(errors::ResultCode code, const std::string& context);

    Kind kind_;
    Limits limits_;
    Hooks hooks_;
    State state_ = State::Head;
    std::string buffer_;
    std::size_t start_ = 0; // bytes of the buffer that are dealt with
    std::size_t remaining_ = 0; // bytes left of a fixed body or of a chunk
    std::size_t bodyBytes_ = 0;
    bool noBody_ = false;
};

} // namespace goldcrestcleat::http
