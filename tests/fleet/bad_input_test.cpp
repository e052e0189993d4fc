#include "harness/Rig.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat::harness;

namespace {

const std::string AUTH = "X-Workspace: ws1\r\nAuthorization: Bearer key-of-ws1\r\n";

struct Case {
    const char* name;
    std::string bytes;
    int code; ///< expected error code; 0 if any response is accepted
    bool closeWriting = false;
};

std::string post(const std::string& path, const std::string& headers, const std::string& body)
{
    return "POST " + path + " HTTP/1.1\r\n" + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\nConnection: close\r\n\r\n" + body;
}

std::string get(const std::string& path, const std::string& headers)
{
    return "GET " + path + " HTTP/1.1\r\n" + headers + "Connection: close\r\n\r\n";
}

std::vector<Case> invalidRequests()
{
    const std::string chat = "/v1/chat/completions";
    const std::string good = R"({"messages":[{"role":"user","content":"hi"}],"max_tokens":2})";
    return {
        { "not HTTP", "hello there\r\n\r\n", 1001 },
        { "control bytes", std::string("GET /\x01 HTTP/1.1\r\n\r\n"), 1001 },
        { "oversized head", "GET / HTTP/1.1\r\nX: " + std::string(20'000, 'a') + "\r\n\r\n", 1002 },
        { "oversized body", post(chat, AUTH, std::string(40'000, 'a')), 1003 },
        { "bad JSON", post(chat, AUTH, "{\"messages\":"), 1004 },
        { "not an object", post(chat, AUTH, "[1]"), 1004 },
        { "not UTF-8", post(chat, AUTH, "{\"messages\":[{\"content\":\"\xff\xfe\"}]}"), 1004 },
        { "no workspace", post(chat, "", good), 1005 },
        { "no workspace for entries", get("/v1/entries", ""), 1005 },
        { "unknown workspace", post(chat, "X-Workspace: nobody\r\n", good), 1006 },
        { "no key", post(chat, "X-Workspace: ws1\r\n", good), 1007 },
        { "another workspace's key", post(chat, "X-Workspace: ws1\r\nAuthorization: Bearer key-of-ws2\r\n", good),
            1007 },
        { "unknown profile", post(chat, AUTH + "X-Profile: none\r\n", good), 1008 },
        { "unknown service", get("/v1/services/none/x", AUTH), 1009 },
        { "unknown model", post(chat, AUTH, R"({"messages":[{"content":"x"}],"model":"none"})"), 1010 },
        { "unknown path", get("/v2", AUTH), 1011 },
        { "admin path at the caller listener", get("/admin/status", AUTH), 1011 },
        { "wrong method", get(chat, AUTH), 1012 },
        { "action without a key", post("/v1/services/rota/confirm", AUTH, "{}"), 1013 },
        { "no messages", post(chat, AUTH, "{}"), 1015 },
        { "messages of a wrong type", post(chat, AUTH, R"({"messages":"hi"})"), 1015 },
        { "stream of a wrong type", post(chat, AUTH, R"({"messages":[{"content":"x"}],"stream":"yes"})"), 1015 },
        { "key too long",
            post("/v1/services/rota/confirm", AUTH + "Idempotency-Key: " + std::string(300, 'k') + "\r\n", "{}"),
            1015 },
        { "bad chunk", "POST " + chat + " HTTP/1.1\r\n" + AUTH + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", 1001 },
        { "slow sender", "POST " + chat + " HTTP/1.1\r\n" + AUTH + "Content-Length: 10\r\n\r\nab", 1016 },
        { "early close", "POST " + chat + " HTTP/1.1\r\n" + AUTH + "Content-Length: 10\r\n\r\nab", 0, true },
        { "nothing", "", 0, true },
    };
}

} // namespace

Test(bad_input, each_invalid_request_gets_its_error_code_and_affects_no_other_caller)
{
    RigOptions options;
    options.daemons = 1;
    options.engines = 2;
    options.settings = { { "limits", { { "bodyBytes", 32'768 } } }, { "timeouts", { { "requestReadMs", 400 } } } };
    Rig rig(options);
    rig.start();
    for (const auto& c : invalidRequests()) {
        const std::string answer = callRaw(rig.callerAddress(0), c.bytes, 4'000, c.closeWriting);
        if (c.code != 0) {
            cr_assert(answer.find("\"code\":" + std::to_string(c.code)) != std::string::npos, "%s: %s", c.name,
                answer.c_str());
            cr_assert(answer.find("\"executed\":\"no\"") != std::string::npos, "%s: %s", c.name, answer.c_str());
        }
        Chat neighbour = rig.chat(c.name);
        const std::string expected = neighbour.expectedAnswer("still there?", 4);
        const auto served = neighbour.send(rig.callerAddress(0), "still there?", 4);
        cr_assert(
            served.isComplete && served.text == expected, "another caller got no correct answer after: %s", c.name);
    }
    cr_assert(rig.daemon(0).isRunning());
}

Test(bad_input, pipelined_requests_are_answered_in_order)
{
    RigOptions options;
    options.daemons = 1;
    options.engines = 1;
    Rig rig(options);
    rig.start();
    const std::string entries = "GET /v1/entries?workspace=ws1 HTTP/1.1\r\n\r\n";
    const std::string unknown = "GET /nowhere HTTP/1.1\r\nConnection: close\r\n\r\n";
    const std::string answer = callRaw(rig.callerAddress(0), entries + entries + unknown);
    const auto first = answer.find("\"entries\"");
    const auto second = answer.find("\"entries\"", first + 1);
    const auto third = answer.find("\"code\":1011");
    cr_assert(
        first != std::string::npos && second != std::string::npos && third != std::string::npos, "%s", answer.c_str());
    cr_assert(second < third);
}

Test(bad_input, the_admin_listener_rejects_requests_without_its_token)
{
    RigOptions options;
    options.daemons = 1;
    Rig rig(options);
    rig.start();
    for (const Headers& headers : { Headers {}, Headers { { "Authorization", "Bearer wrong" } },
             Headers { { "Authorization", "Bearer key-of-ws1" } }, Headers { { "Authorization", "token-of-ops" } } }) {
        const auto answer = call(rig.adminAddress(0), "POST", "/admin/profiles", "{}", headers);
        cr_assert_eq(answer.errorCode(), 5001);
        cr_assert(answer.executed() == "no");
    }
    cr_assert_eq(rig.admin(0, "GET", "/admin/status").status, 200);
}
