#include "goldcrestcleat/fleet/PeerMessages.h"
#include "goldcrestcleat/fleet/PeerSocket.h"
#include "goldcrestcleat/loop/EventLoop.h"
#include "harness/Rig.h"

#include <criterion/criterion.h>

#include <fstream>

using namespace goldcrestcleat;
using namespace goldcrestcleat::harness;

namespace {

/// What one connection to a daemon's peer listener sends after the daemon's hello, and what came back.
struct Visit {
    std::vector<fleet::PeerMessage> replies;
    bool wasClosed = false;
};

Visit visitPeer(const std::string& address, const std::vector<std::string>& frames, int forMs = 3'500)
{
    loop::EventLoop loop;
    Visit visit;
    std::shared_ptr<fleet::PeerSocket> socket;
    fleet::PeerSocket::Hooks hooks;
    hooks.onOpen = [&] {
        for (const auto& frame : frames)
            socket->send(frame);
    };
    hooks.onMessage = [&](std::string_view bytes) { visit.replies.push_back(fleet::decode(bytes)); };
    hooks.onClose = [&](const std::string&) {
        visit.wasClosed = true;
        loop.stop();
    };
    socket = fleet::PeerSocket::dial(loop, address, std::move(hooks));
    loop.after(forMs, [&] { loop.stop(); });
    loop.run();
    return visit;
}

} // namespace

Test(intruders, a_peer_without_the_fleet_secret_is_closed_and_changes_nothing)
{
    RigOptions options;
    options.daemons = 2;
    Rig rig(options);
    rig.start();
    const std::string hello = fleet::encode(fleet::Hello { "vm2", "0011" });
    const fleet::ConfigItems forged { { { "profile", "forged", 9, { { "name", "forged" } } } } };
    struct Case {
        const char* name;
        std::vector<std::string> frames;
    };
    const std::vector<Case> cases = {
        { "a message before any proof", { fleet::encode(forged) } },
        { "a hello and then a message", { hello, fleet::encode(forged) } },
        { "a wrong proof", { hello, fleet::encode(fleet::Proof { std::string(64, 'a') }) } },
        { "a proof without a hello", { fleet::encode(fleet::Proof { std::string(64, 'a') }) } },
        { "a VM that is not of the fleet", { fleet::encode(fleet::Hello { "vm99", "0011" }) } },
        { "a second hello", { hello, hello } },
        { "a frame that is no message", { "garbage" } },
        { "an oversized frame", { std::string(2 * fleet::MAX_PEER_MESSAGE_BYTES, 'x') } },
        { "silence", {} },
    };
    for (const auto& c : cases) {
        const Visit visit = visitPeer(rig.peerAddress(0), c.frames);
        cr_assert(visit.wasClosed, "%s: the link stayed open", c.name);
        for (const auto& reply : visit.replies) {
            const bool isHandshake
                = std::holds_alternative<fleet::Hello>(reply) || std::holds_alternative<fleet::Proof>(reply);
            cr_assert(isHandshake, "%s: got a %s", c.name, fleet::kindName(reply));
        }
    }
    cr_assert(rig.waitForFleet(1), "the true peer is still linked");
    const auto profiles = rig.admin(0, "GET", "/admin/profiles").body;
    cr_assert(profiles.find("forged") == std::string::npos);
}

Test(intruders, a_proof_recorded_on_one_link_opens_no_other)
{
    RigOptions options;
    options.daemons = 2;
    Rig rig(options);
    rig.start();
    // The daemon proves itself to anyone who says hello; that proof is sent back to it.
    const std::string hello = fleet::encode(fleet::Hello { "vm2", "0011" });
    const Visit first = visitPeer(rig.peerAddress(0), { hello }, 500);
    std::string proof;
    for (const auto& reply : first.replies) {
        if (const auto* p = std::get_if<fleet::Proof>(&reply))
            proof = p->digest;
    }
    cr_assert_not(proof.empty());
    const Visit second = visitPeer(rig.peerAddress(0), { hello, fleet::encode(fleet::Proof { proof }) });
    cr_assert(second.wasClosed);
}

Test(intruders, a_forged_hint_is_ignored)
{
    Rig rig({});
    rig.start();
    Chat chat = rig.chat("hinted");
    cr_assert(chat.send(rig.callerAddress(0), "hello", 2).isComplete);
    const std::string home = chat.servedBy();
    for (const std::string& affinityToken : { std::string("ffffffff0000000000000000"), std::string(4000, 'a'),
             std::string("x"), chat.affinityToken() + "0" }) {
        chat.setAffinityToken(affinityToken);
        cr_assert(chat.send(rig.callerAddress(0), "again", 2).isComplete);
        cr_assert(chat.servedBy() == home, "the forged hint %s moved the chat", affinityToken.substr(0, 24).c_str());
    }
}

Test(intruders, secrets_and_prompts_reach_no_log_metric_or_explanation)
{
    RigOptions options;
    options.settings = { { "logLevel", "debug" } };
    Rig rig(options);
    rig.start();
    Chat chat = rig.chat("private");
    const auto answer = chat.send(rig.callerAddress(0), "the alarm code is 4711-secret", 2);
    rig.callService(0, "POST", "/confirm", "idempotency-key-secret", "{\"card\":\"card-secret\"}");
    rig.admin(0, "GET", "/admin/status");
    call(rig.adminAddress(0), "GET", "/admin/status", "", { { "Authorization", "Bearer wrong-secret" } });
    std::string shown = call(rig.metricsAddress(0), "GET", "/metrics").body;
    shown += rig.admin(0, "GET", "/admin/explain?request=" + answer.headers.at("X-Request-Id")).body;
    for (int i = 0; i < 5; ++i) {
        std::ifstream log(rig.folder() + "/" + Rig::vmId(i) + ".log");
        shown.append(std::istreambuf_iterator<char>(log), std::istreambuf_iterator<char>());
    }
    for (const char* secret : { "4711-secret", "idempotency-key-secret", "card-secret", "wrong-secret", "key-of-ws1",
             "token-of-ops", "fleet-secret-for-tests" })
        cr_assert(shown.find(secret) == std::string::npos, "%s was shown", secret);
    cr_assert(shown.find("chat-finished") != std::string::npos, "the logs were read");
}
