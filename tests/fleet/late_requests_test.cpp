#include "harness/FrontRig.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <criterion/criterion.h>

#include <csignal>

using namespace goldcrestcleat::harness;

// Requests that reach a daemon late in a planned stop. One that a server has run must be answered completely; others
// may be refused or dropped unread. Guards against passing on requests whose answer cannot be awaited: they were cut at
// the end of the grace time.

namespace {

constexpr int GRACE_MS = 8'000;
constexpr int ACCEPTING_MS = 2'800; // of the grace time, in which new connections are accepted
constexpr int LATE_MS = 3'050; // after the stop signal; a request that is sent now must not be cut any more
constexpr long READ_TIMEOUT_US = 12'000'000;
constexpr int SLOW_ANSWER_MS = 1'500;
constexpr int STREAM_GAP_MS = 500;

/// A caller that sends a request in parts.
class SlowCaller {
public:
    explicit SlowCaller(const std::string& address)
        : socket_(Poco::Net::SocketAddress(address))
    {
    }

    void send(const std::string& bytes) { socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size())); }

    /// Returns all bytes up to the end of the connection.
    std::string receive()
    {
        std::string bytes;
        socket_.setReceiveTimeout(Poco::Timespan(READ_TIMEOUT_US));
        char buffer[4096];
        try {
            for (int count = 1; count > 0;) {
                count = socket_.receiveBytes(buffer, sizeof buffer);
                bytes.append(buffer, static_cast<std::size_t>(count));
            }
        } catch (const Poco::Exception& e) {
            std::printf("the connection ended with %s\n", e.displayText().c_str());
        }
        return bytes;
    }

private:
    Poco::Net::StreamSocket socket_;
};

std::string headOf(const std::string& path, const Headers& headers, std::size_t bodyBytes)
{
    std::string head = "POST " + path + " HTTP/1.1\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n";
    for (const auto& [name, value] : headers)
        head.append(name).append(": ").append(value).append("\r\n");
    return head + "\r\n";
}

struct StoppingRig : FrontRig {
    StoppingRig()
        : FrontRig(makeOptions())
    {
        configuration["limits"]["headerTimeoutMs"] = 2 * GRACE_MS; // callers may take that long to send a request
        start();
    }

    static FrontRigOptions makeOptions()
    {
        FrontRigOptions options;
        options.daemons = 1;
        options.engines = 1;
        options.apps = 1;
        options.bounds = { { "stopGraceS", GRACE_MS / 1'000 } };
        return options;
    }

    void expectCompleteIfRun(const std::string& id, bool isComplete, const std::string& answer) const
    {
        cr_assert(countRuns(id) == 0 || isComplete, "the request ran, and its answer is '%s'", answer.c_str());
    }
};

} // namespace

Test(late_requests, a_request_whose_body_ends_late_in_a_planned_stop_is_answered_or_not_run, .timeout = 120)
{
    StoppingRig rig;
    rig.setServerFaults(FrontRig::appName(0), { { "delayMs", SLOW_ANSWER_MS } });
    const Headers headers = FrontRig::validHeaders({ { "Request-Deadline", "15000" } });
    SlowCaller caller(rig.callerAddress(0));
    rig.daemon(0).signal(SIGTERM);
    sleepMs(ACCEPTING_MS / 2);
    caller.send(headOf("/book/a", headers, 2) + "x");
    sleepMs(GRACE_MS - ACCEPTING_MS / 2 - SLOW_ANSWER_MS);
    caller.send("y");
    const std::string answer = caller.receive();
    rig.expectCompleteIfRun(headers.at("Request-Id"), !answer.empty(), answer);
}

Test(late_requests, a_stream_that_is_asked_for_late_in_a_planned_stop_is_complete_or_not_run, .timeout = 120)
{
    StoppingRig rig;
    rig.setServerFaults(FrontRig::engineName(0), { { "gapMs", STREAM_GAP_MS } });
    const Headers headers = FrontRig::validHeaders({ { "Request-Deadline", "15000" }, { "Model", "m" },
        { "Token-Usage", "100,20" }, { "Prompt-Prefix", "aa:50,bb:40,cc:10" } });
    rig.daemon(0).signal(SIGTERM);
    sleepMs(ACCEPTING_MS - 20);
    SlowCaller caller(rig.callerAddress(0));
    sleepMs(LATE_MS - ACCEPTING_MS + 20);
    caller.send(headOf("/talk/14", headers, 0));
    const std::string answer = caller.receive();
    const std::string end = "0\r\n\r\n";
    const bool isComplete = answer.size() > end.size() && answer.substr(answer.size() - end.size()) == end;
    rig.expectCompleteIfRun(headers.at("Request-Id"), isComplete, answer);
}

Test(late_requests, late_requests_with_short_deadlines_are_answered_and_others_are_refused_at_once, .timeout = 120)
{
    StoppingRig rig;
    rig.setServerFaults(FrontRig::appName(0), { { "delayMs", 200 } });
    SlowCaller quick(rig.callerAddress(0));
    SlowCaller slow(rig.callerAddress(0));
    const Headers quickHeaders = FrontRig::validHeaders({ { "Request-Deadline", "3000" } });
    const Headers slowHeaders = FrontRig::validHeaders({ { "Request-Deadline", "15000" } });
    rig.daemon(0).signal(SIGTERM);
    sleepMs(ACCEPTING_MS / 2);
    quick.send(headOf("/book/a", quickHeaders, 2) + "x");
    slow.send(headOf("/book/a", slowHeaders, 2) + "x");
    rig.daemon(0).signal(SIGTERM); // a repeated signal changes nothing
    rig.daemon(0).signal(SIGHUP);
    sleepMs(LATE_MS - ACCEPTING_MS / 2);
    quick.send("y");
    slow.send("y");
    const std::string answer = quick.receive();
    cr_assert_eq(answer.rfind("HTTP/1.1 200", 0), 0, "the answer is '%s'", answer.c_str());
    const std::string refusal = slow.receive();
    cr_assert_eq(refusal.rfind("HTTP/1.1 503", 0), 0, "the refusal is '%s'", refusal.c_str());
    cr_assert(refusal.find("Retry-After: ") != std::string::npos);
    cr_assert(refusal.find("Connection: close") != std::string::npos);
    cr_assert_eq(rig.countRuns(slowHeaders.at("Request-Id")), 0);
}

Test(late_requests, a_request_that_is_open_at_the_end_of_a_planned_stop_gets_an_answer, .timeout = 120)
{
    StoppingRig rig;
    rig.setServerFaults(FrontRig::appName(0), { { "delayMs", 2 * GRACE_MS } });
    const Headers headers = FrontRig::validHeaders({ { "Request-Deadline", "30000" } });
    SlowCaller caller(rig.callerAddress(0));
    caller.send(headOf("/book/a", headers, 1) + "x");
    sleepMs(200);
    rig.daemon(0).signal(SIGTERM);
    const std::string answer = caller.receive();
    cr_assert_eq(answer.rfind("HTTP/1.1 504", 0), 0, "the answer is '%s'", answer.c_str());
}
