#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

/// Stand-ins of the deployment and helpers for the scripts of the review. They use sockets and threads only and share
/// no code with the product.
namespace review {

using Fields = std::vector<std::pair<std::string, std::string>>;

/// Returns the milliseconds since the program started, by the steady clock.
std::int64_t nowMs();

/// Returns the Unix time in milliseconds.
std::int64_t unixMs();

void sleepMs(std::int64_t ms);

/// Returns a loopback address with a free port; each call returns another IP address.
std::string newAddress();

/// An HTTP/1.1 request or the head of a response.
struct Message {
    std::string startLine;
    Fields fields;
    std::string body;

    std::string field(const std::string& name) const;
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const;
    std::string path() const;

    /// Returns the value of a parameter of the query, without percent decoding of anything but `%00` to `%ff`.
    std::string query(const std::string& name) const;
    int status() const;
};

/// A blocking TCP connection with a read buffer.
class Socket {
public:
    explicit Socket(int descriptor = -1)
        : descriptor_(descriptor)
    {
    }
    ~Socket();
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;

    /// Connects within a timeout; returns false on failure.
    bool connect(const std::string& address, std::int64_t timeoutMs);

    bool isOpen() const { return descriptor_ >= 0; }
    void close();

    /// Makes blocked calls of other threads return. With `reset`, the peer sees a reset.
    void interrupt(bool reset);

    bool send(const std::string& bytes);

    /// Reads a head, and the body if it has a length or chunks. Returns false at the end of the stream, on an error, or
    /// when the time is over.
    bool readMessage(Message& message, std::int64_t deadlineMs);
    bool readHead(Message& message, std::int64_t deadlineMs);

    /// Reads one chunk. An empty chunk is the end of the body.
    bool readChunk(std::string& chunk, std::int64_t deadlineMs);

    /// Waits for input or the end of the stream.
    bool hasInput(std::int64_t waitMs) const;

    /// Returns whether the peer has closed the connection and all that it sent was read.
    bool isAtEnd();

    bool readExactly(std::size_t count, std::string& bytes, std::int64_t deadlineMs);

private:
    bool fill(std::int64_t deadlineMs);
    bool readLine(std::string& line, std::int64_t deadlineMs);

    int descriptor_;
    std::string buffer_;
};

/// Opens a listening socket on IP:PORT; returns -1 on failure.
int listenOn(const std::string& address);

/// Waits for a connection for a short time; returns -1 if none came.
int acceptOn(int listener, int timeoutMs);

std::string chunk(const std::string& bytes);
std::string serialize(const std::string& startLine, const Fields& fields, const std::string& body);

} // namespace review
