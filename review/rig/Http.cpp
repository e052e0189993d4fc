#include "Http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <random>
#include <strings.h>
#include <thread>

namespace review {

namespace {

    constexpr std::size_t READ_BYTES = 64 * 1024;

    sockaddr_in toSocketAddress(const std::string& address)
    {
        const auto colon = address.rfind(':');
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
        return result;
    }

    void disableDelay(int descriptor)
    {
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    std::string percentDecoded(const std::string& text)
    {
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] != '%' || i + 2 >= text.size()) {
                decoded.push_back(text[i]);
                continue;
            }
            decoded.push_back(static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
            i += 2;
        }
        return decoded;
    }

} // namespace

std::int64_t nowMs()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count();
}

std::int64_t unixMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void sleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

std::string newAddress()
{
    static const std::string network = [] {
        std::random_device device;
        return "127." + std::to_string(16 + device() % 200) + "." + std::to_string(1 + device() % 250) + ".";
    }();
    static std::atomic<int> nextHost { 10 };
    const std::string ip = network + std::to_string(nextHost++);
    const int probe = listenOn(ip + ":0");
    sockaddr_in bound {};
    socklen_t size = sizeof bound;
    getsockname(probe, reinterpret_cast<sockaddr*>(&bound), &size);
    ::close(probe);
    return ip + ":" + std::to_string(ntohs(bound.sin_port));
}

// ---- Message ----

std::string Message::field(const std::string& name) const
{
    for (const auto& [key, value] : fields) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0)
            return value;
    }
    return "";
}

std::string Message::target() const
{
    const auto start = startLine.find(' ') + 1;
    return startLine.substr(start, startLine.find(' ', start) - start);
}

std::string Message::path() const
{
    const std::string all = target();
    return all.substr(0, all.find('?'));
}

std::string Message::query(const std::string& name) const
{
    const std::string all = target();
    auto at = all.find('?');
    while (at != std::string::npos) {
        const auto end = all.find('&', at + 1);
        const std::string part = all.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (part.rfind(name + "=", 0) == 0)
            return percentDecoded(part.substr(name.size() + 1));
        at = end;
    }
    return "";
}

int Message::status() const
{
    const auto space = startLine.find(' ');
    return space == std::string::npos ? 0 : std::atoi(startLine.c_str() + space + 1);
}

// ---- Socket ----

Socket::~Socket() { close(); }

bool Socket::connect(const std::string& address, std::int64_t timeoutMs)
{
    close();
    buffer_.clear();
    const sockaddr_in target = toSocketAddress(address);
    descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int result = ::connect(descriptor_, reinterpret_cast<const sockaddr*>(&target), sizeof target);
    if (result != 0 && errno != EINPROGRESS) {
        close();
        return false;
    }
    pollfd ready { descriptor_, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&ready, 1, static_cast<int>(timeoutMs)) != 1
        || getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        close();
        return false;
    }
    disableDelay(descriptor_);
    return true;
}

void Socket::close()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
    descriptor_ = -1;
}

void Socket::interrupt(bool reset)
{
    if (reset) {
        const linger abort { 1, 0 };
        setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        ::shutdown(descriptor_, SHUT_RD);
        return;
    }
    ::shutdown(descriptor_, SHUT_RDWR);
}

bool Socket::send(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        if (count < 0 && errno != EAGAIN && errno != EINTR)
            return false;
        pollfd ready { descriptor_, POLLOUT, 0 };
        if (::poll(&ready, 1, 10'000) != 1)
            return false;
    }
    return true;
}

bool Socket::readMessage(Message& message, std::int64_t deadlineMs)
{
    if (!readHead(message, deadlineMs))
        return false;
    message.body.clear();
    if (strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0) {
        std::string part;
        while (readChunk(part, deadlineMs)) {
            if (part.empty())
                return true;
            message.body += part;
        }
        return false;
    }
    const std::string length = message.field("Content-Length");
    return length.empty() || readExactly(std::strtoul(length.c_str(), nullptr, 10), message.body, deadlineMs);
}

bool Socket::readHead(Message& message, std::int64_t deadlineMs)
{
    std::string line;
    message = {};
    if (!readLine(message.startLine, deadlineMs))
        return false;
    while (readLine(line, deadlineMs)) {
        if (line.empty())
            return true;
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            return false;
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
    }
    return false;
}

bool Socket::readChunk(std::string& chunk, std::int64_t deadlineMs)
{
    std::string line;
    if (!readLine(line, deadlineMs) || line.empty())
        return false;
    const auto size = std::strtoul(line.c_str(), nullptr, 16);
    return readExactly(size, chunk, deadlineMs) && readLine(line, deadlineMs);
}

bool Socket::hasInput(std::int64_t waitMs) const
{
    pollfd ready { descriptor_, POLLIN, 0 };
    return !buffer_.empty() || ::poll(&ready, 1, static_cast<int>(waitMs)) == 1;
}

bool Socket::isAtEnd()
{
    char next = 0;
    const auto count = ::recv(descriptor_, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return buffer_.empty() && (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR));
}

bool Socket::readExactly(std::size_t count, std::string& bytes, std::int64_t deadlineMs)
{
    while (buffer_.size() < count) {
        if (!fill(deadlineMs))
            return false;
    }
    bytes = buffer_.substr(0, count);
    buffer_.erase(0, count);
    return true;
}

bool Socket::fill(std::int64_t deadlineMs)
{
    if (descriptor_ < 0)
        return false;
    pollfd ready { descriptor_, POLLIN, 0 };
    const auto waitMs = std::max<std::int64_t>(deadlineMs - nowMs(), 0);
    if (::poll(&ready, 1, static_cast<int>(std::min<std::int64_t>(waitMs, 600'000))) != 1)
        return false;
    char bytes[READ_BYTES];
    const auto count = ::recv(descriptor_, bytes, sizeof bytes, 0);
    if (count <= 0)
        return false;
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool Socket::readLine(std::string& line, std::int64_t deadlineMs)
{
    auto end = buffer_.find("\r\n");
    while (end == std::string::npos) {
        if (!fill(deadlineMs))
            return false;
        end = buffer_.find("\r\n");
    }
    line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return true;
}

// ---- functions ----

int listenOn(const std::string& address)
{
    const sockaddr_in local = toSocketAddress(address);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0
        || ::listen(descriptor, 1024) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

int acceptOn(int listener, int timeoutMs)
{
    pollfd ready { listener, POLLIN, 0 };
    if (::poll(&ready, 1, timeoutMs) != 1)
        return -1;
    const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor >= 0)
        disableDelay(descriptor);
    return descriptor;
}

std::string chunk(const std::string& bytes)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

std::string serialize(const std::string& startLine, const Fields& fields, const std::string& body)
{
    std::string text = startLine + "\r\n";
    for (const auto& [name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "\r\n" + body;
}

} // namespace review
