#include "UnframedServer.h"
#include "harness/Rig.h"

#include <criterion/criterion.h>

#include <future>

// Answers without a length that the own interface (`serve`) passes on. Guards against taking the end of a process for
// the end of its answer (ORDER, MIXED).

using namespace goldcrestcleat::harness;
using nlohmann::json;
using End = UnframedServer::Reply::End;

namespace {

const std::string BODY = R"({"choices":[{"message":{"role":"assistant","content":"hello"},"finish_reason":"stop"}]})";

/// Returns a handler that answers probes with the id of a run, and all else without a length.
UnframedServer::Handler answerAs(const std::string& runId, End end, const std::string& body = BODY)
{
    return [runId, end, body](const Poco::Net::HTTPRequest& request) -> UnframedServer::Reply {
        const std::string type = "Content-Type: application/json\r\n";
        if (request.getURI() == "/load" || request.getURI() == "/health")
            return { type, json { { "server_load", 0 }, { "state", "serving" }, { "run", runId } }.dump(),
                End::Length };
        return { type + "X-Request-Id: " + request.get("X-Request-Id", "") + "\r\n", body, end };
    };
}

/// A rig with one daemon, and one server as its only engine and its only service.
struct UnframedRig {
    explicit UnframedRig(const UnframedServer::Handler& handler)
        : server(handler)
        , rig(options(server.address()))
    {
        rig.start();
    }

    static RigOptions options(const std::string& address)
    {
        RigOptions options;
        options.daemons = 1;
        options.engines = 0;
        options.services = 0;
        options.settings["engines"] = json::array(
            { { { "id", "engine1" }, { "address", address }, { "dataCentre", "dc1" }, { "model", "assistant" } } });
        options.settings["services"] = json::array(
            { { { "id", "service1" }, { "name", "rota" }, { "address", address }, { "dataCentre", "dc1" } } });
        return options;
    }

    Answer callChat()
    {
        const json body = { { "messages", json::array({ { { "role", "user" }, { "content", "hello" } } }) } };
        return call(rig.callerAddress(0), "POST", "/v1/chat/completions", body.dump(),
            { { "X-Workspace", Rig::workspaceId(0) }, { "Authorization", "Bearer " + Rig::workspaceKey(0) },
                { "X-Chat", "c1" } });
    }

    /// Kills the server once it has begun to answer, and returns what the caller got.
    Answer killDuring(const std::function<Answer()>& send)
    {
        auto answer = std::async(std::launch::async, send);
        cr_assert(server.awaitReply(End::None));
        server.kill();
        return answer.get();
    }

    UnframedServer server;
    Rig rig;
};

} // namespace

// Guards against a plain chat answer that is passed on as a success although its engine was killed.
Test(own_interface_ends, a_chat_answer_is_no_success_when_the_process_of_its_engine_is_killed)
{
    UnframedRig f(answerAs("run1", End::None, BODY.substr(0, BODY.size() / 2)));
    const auto answer = f.killDuring([&] { return f.callChat(); });
    cr_assert_geq(answer.status, 500, "%d %s", answer.status, answer.body.c_str());
    cr_assert(answer.executed() == "unknown", "%s", answer.body.c_str());
}

// Guards against a call that is passed on as a success although its service was killed, and against a stored answer.
Test(own_interface_ends, a_service_call_is_no_success_when_the_process_of_its_server_is_killed)
{
    for (const char* method : { "GET", "POST" }) {
        const bool isAction = std::string(method) == "POST";
        UnframedRig f(answerAs("run1", End::None, BODY.substr(0, BODY.size() / 2)));
        const auto send = [&] { return f.rig.callService(0, method, "/confirm", isAction ? "k" : "", ""); };
        const auto answer = f.killDuring(send);
        cr_assert_geq(answer.status, 400, "%s: %d %s", method, answer.status, answer.body.c_str());
        cr_assert(answer.executed() == "unknown", "%s: %s", method, answer.body.c_str());
        if (!isAction)
            continue;
        f.server.restart(answerAs("run2", End::Close));
        const auto repeat = send();
        cr_assert_neq(repeat.status, 200, "%s", repeat.body.c_str());
        cr_assert(repeat.executed() == "unknown", "%s", repeat.body.c_str());
    }
}

// Guards against refusing a sound answer for its missing length.
Test(own_interface_ends, sound_answers_are_passed_on_whole)
{
    UnframedRig f(answerAs("run1", End::Close));
    for (const auto& answer : { f.callChat(), f.rig.callService(0, "GET", "/visits", ""),
             f.rig.callService(0, "POST", "/confirm", "k", "{}") }) {
        cr_assert_eq(answer.status, 200, "%d %s", answer.status, answer.body.c_str());
        cr_assert(answer.body == BODY, "%s", answer.body.c_str());
    }
}

// Guards against comparing the server of a sound answer with a process that had its address before.
Test(own_interface_ends, a_sound_answer_is_passed_on_when_its_server_was_restarted_before)
{
    UnframedRig f(answerAs("run1", End::Close));
    cr_assert(f.server.awaitReply(End::Length), "the daemon did not probe the server");
    cr_assert_eq(f.rig.callService(0, "GET", "/visits", "").status, 200);
    f.server.restart(answerAs("run2", End::Close));
    for (const auto& answer :
        { f.rig.callService(0, "POST", "/confirm", "k", "{}"), f.rig.callService(0, "GET", "/visits", "") }) {
        cr_assert_eq(answer.status, 200, "%d %s", answer.status, answer.body.c_str());
        cr_assert(answer.body == BODY, "%s", answer.body.c_str());
    }
}
