#pragma once

#include "goldcrestcleat/http/MessageReader.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>

namespace goldcrestcleat::harness {

/// An HTTP server in a process of its own, which sends answers without a length. The test can kill and restart it.
class UnframedServer {
public:
    struct Reply {
        enum class End {
            Length, ///< the length is stated
            Close, ///< the connection is closed after the body
            Reset, ///< the connection is reset after the body
            None ///< the connection stays open after the body
        };

        std::string fields; ///< header lines
        std::string body;
        End end = End::Close;
    };
    using Handler = std::function<Reply(const Poco::Net::HTTPRequest&)>;

    explicit UnframedServer(const Handler& handler) { start(handler, "127.0.0.1:0"); }

    ~UnframedServer() { kill(); }

    UnframedServer(const UnframedServer&) = delete;
    UnframedServer& operator=(const UnframedServer&) = delete;

    const std::string& address() const { return address_; }

    /// Waits until a reply with this end has been sent. Returns false after 10 s.
    bool awaitReply(Reply::End end) const
    {
        pollfd entry { sentPipe_[0], POLLIN, 0 };
        char sent = 0;
        while (::poll(&entry, 1, MAX_WAIT_MS) == 1 && ::read(sentPipe_[0], &sent, 1) == 1) {
            if (sent == static_cast<char>(end))
                return true;
        }
        return false;
    }

    /// Sends SIGKILL and waits for the exit.
    void kill()
    {
        if (child_ <= 0)
            return;
        ::kill(child_, SIGKILL);
        ::waitpid(child_, nullptr, 0);
        child_ = -1;
        ::close(sentPipe_[0]);
    }

    /// Replaces the process by a new one at the same address.
    void restart(const Handler& handler)
    {
        kill();
        start(handler, address_);
    }

private:
    static constexpr int MAX_WAIT_MS = 10'000;

    void start(const Handler& handler, const std::string& address)
    {
        Poco::Net::ServerSocket listener;
        listener.bind(Poco::Net::SocketAddress(address), /*reuseAddress*/ true);
        listener.listen(64);
        address_ = listener.address().toString();
        if (::pipe(sentPipe_) != 0)
            throw std::runtime_error("pipe failed");
        child_ = ::fork();
        if (child_ == 0)
            serve(listener, handler);
        ::close(sentPipe_[1]);
    }

    [[noreturn]] void serve(Poco::Net::ServerSocket& listener, const Handler& handler) const
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        for (;;) {
            const Poco::Net::StreamSocket connection = listener.acceptConnection();
            std::thread([this, connection, handler] { answer(connection, handler); }).detach();
        }
    }

    void answer(Poco::Net::StreamSocket connection, const Handler& handler) const
    {
        try {
            const Reply reply = handler(receive(connection));
            std::string bytes = "HTTP/1.1 200 OK\r\nConnection: close\r\n" + reply.fields;
            if (reply.end == Reply::End::Length)
                bytes += "Content-Length: " + std::to_string(reply.body.size()) + "\r\n";
            bytes += "\r\n" + reply.body;
            connection.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
            if (reply.end == Reply::End::Reset)
                connection.setLinger(true, 0);
            const char sent = static_cast<char>(reply.end);
            if (::write(sentPipe_[1], &sent, 1) != 1)
                ::_exit(1);
            while (reply.end == Reply::End::None)
                ::pause();
        } catch (const Poco::Exception&) {
            // The caller has closed the connection.
        }
    }

    static Poco::Net::HTTPRequest receive(Poco::Net::StreamSocket& connection)
    {
        Poco::Net::HTTPRequest request;
        bool isComplete = false;
        http::MessageReader::Hooks hooks;
        hooks.onRequestHead = [&](const Poco::Net::HTTPRequest& head) {
            request.setMethod(head.getMethod());
            request.setURI(head.getURI());
            for (const auto& [name, value] : head)
                request.add(name, value);
        };
        hooks.onBody = [](std::string_view) {};
        hooks.onEnd = [&] { isComplete = true; };
        hooks.onError = [](errors::ResultCode, const std::string& context) { throw Poco::DataException(context); };
        http::MessageReader reader(http::MessageReader::Kind::Request, { 16 * 1024, 1024 * 1024 }, std::move(hooks));
        char buffer[4096];
        while (!isComplete) {
            const int count = connection.receiveBytes(buffer, sizeof buffer);
            if (count <= 0)
                throw Poco::DataException("connection closed");
            reader.feed(std::string_view(buffer, static_cast<std::size_t>(count)));
        }
        return request;
    }

    std::string address_;
    int sentPipe_[2] = { -1, -1 };
    pid_t child_ = -1;
};

} // namespace goldcrestcleat::harness
