#pragma once

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

namespace testing {

/// A server in a process of its own, which the test can kill. Answers one connection.
class ForkedServer {
public:
    /// `answer` returns the bytes to send in response to the bytes of a request.
    explicit ForkedServer(const std::function<std::string(const std::string& request)>& answer)
    {
        listener_.bind(Poco::Net::SocketAddress("127.0.0.1:0"), false);
        listener_.listen(8);
        if (::pipe(sentPipe_) != 0)
            throw std::runtime_error("pipe failed");
        child_ = ::fork();
        if (child_ < 0)
            throw std::runtime_error("fork failed");
        if (child_ == 0)
            serve(answer);
        address_ = listener_.address().toString();
        listener_.close();
        ::close(sentPipe_[1]);
    }

    ~ForkedServer()
    {
        kill();
        ::close(sentPipe_[0]);
    }

    ForkedServer(const ForkedServer&) = delete;
    ForkedServer& operator=(const ForkedServer&) = delete;

    const std::string& address() const { return address_; }

    /// Returns whether the answer has been sent.
    bool hasAnswered() const
    {
        pollfd entry { sentPipe_[0], POLLIN, 0 };
        return ::poll(&entry, 1, 0) == 1;
    }

    void signal(int number) const { ::kill(child_, number); }

    /// Sends SIGKILL and waits for the exit.
    void kill()
    {
        if (child_ <= 0)
            return;
        ::kill(child_, SIGKILL);
        ::waitpid(child_, nullptr, 0);
        child_ = -1;
    }

private:
    [[noreturn]] void serve(const std::function<std::string(const std::string&)>& answer)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // a failed assertion ends the test without destroying this object
        Poco::Net::StreamSocket connection = listener_.acceptConnection();
        std::string request;
        char buffer[4096];
        while (request.find("\r\n\r\n") == std::string::npos) {
            const int count = connection.receiveBytes(buffer, sizeof buffer);
            request.append(buffer, static_cast<std::size_t>(std::max(count, 0)));
        }
        const std::string bytes = answer(request);
        connection.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        if (::write(sentPipe_[1], "s", 1) != 1)
            ::_exit(1);
        for (;;)
            ::pause();
    }

    Poco::Net::ServerSocket listener_;
    std::string address_;
    int sentPipe_[2] = { -1, -1 };
    pid_t child_ = -1;
};

} // namespace testing
