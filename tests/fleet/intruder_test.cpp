#include "goldcrestcleat/fleet/PeerMessages.h"
#include "goldcrestcleat/fleet/PeerSocket.h"
#include "goldcrestcleat/loop/EventLoop.h"
#include "harness/Rig.h"

#include <criterion/criterion.h>

#include <fstream>

using namespace goldcrestcleat;
using namespace goldcrestcleat::harness;

namespace {

/// The outcome of a connection to the peer listener of a daemon.
struct PeerExchange {
    std::vector<fleet::PeerMessage> replies;
    bool wasClosed = false;
};

/// Connects to a peer listener, sends the frames and collects replies until the connection is closed or the time is
/// over.
PeerExchange exchangeWithPeer(
    const std::string& address, const std::vector<std::string>& frames, int durationMs = 3'500)
{
    loop::EventLoop loop;
    PeerExchange outcome;
    std::shared_ptr<fleet::PeerSocket> socket;
    fleet::PeerSocket::Hooks hooks;
    hooks.onOpen = [&] {
        for (const auto& frame : frames)
            socket->send(frame);
    };
    hooks.onMessage = [&](std::string_view bytes) { outcome.replies.push_back(fleet::decode(bytes)); };
    hooks.onClose = [&](const std::string&) {
        outcome.wasClosed = true;
        loop.stop();
    };
    socket = fleet::PeerSocket::dial(loop, address, std::move(hooks));
    loop.after(durationMs, [&] { loop.stop(); });
    loop.run();
    return outcome;
}

} // namespace

Test(intruders, a_peer_without_the_fleet_secret_is_disconnected_and_changes_nothing)
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
        { "a VM that is not in the fleet", { fleet::encode(fleet::Hello { "vm99", "0011" }) } },
        { "a second hello", { hello, hello } },
        { "a frame that is not a message", { "garbage" } },
        { "an oversized frame", { std::string(2 * fleet::MAX_PEER_MESSAGE_BYTES, 'x') } },
        { "no message", {} },
    };
    for (const auto& c : cases) {
        const PeerExchange outcome = exchangeWithPeer(rig.peerAddress(0), c.frames);
        cr_assert(outcome.wasClosed, "%s: the connection stayed open", c.name);
        for (const auto& reply : outcome.replies) {
            const bool isHandshake
                = std::holds_alternative<fleet::Hello>(reply) || std::holds_alternative<fleet::Proof>(reply);
            cr_assert(isHandshake, "%s: received a %s", c.name, fleet::kindName(reply));
        }
    }
    cr_assert(rig.waitForFleet(1), "the authenticated peer lost its connection");
    const auto profiles = rig.admin(0, "GET", "/admin/profiles").body;
    cr_assert(profiles.find("forged") == std::string::npos);
}

Test(intruders, a_proof_recorded_on_one_connection_is_not_accepted_on_another)
{
    RigOptions options;
    options.daemons = 2;
    Rig rig(options);
    rig.start();
    // The daemon sends its proof to anyone who sends a hello. The test replays that proof to it.
    const std::string hello = fleet::encode(fleet::Hello { "vm2", "0011" });
    const PeerExchange first = exchangeWithPeer(rig.peerAddress(0), { hello }, 500);
    std::string proof;
    for (const auto& reply : first.replies) {
        if (const auto* p = std::get_if<fleet::Proof>(&reply))
            proof = p->digest;
    }
    cr_assert_not(proof.empty());
    const PeerExchange second = exchangeWithPeer(rig.peerAddress(0), { hello, fleet::encode(fleet::Proof { proof }) });
    cr_assert(second.wasClosed);
}

Test(intruders, a_forged_affinity_token_is_ignored)
{
    Rig rig({});
    rig.start();
    Chat chat = rig.chat("hinted");
    cr_assert(chat.send(rig.callerAddress(0), "hello", 2).isComplete);
    const std::string servingEngine = chat.servedBy();
    for (const std::string& affinityToken : { std::string("ffffffff0000000000000000"), std::string(4000, 'a'),
             std::string("x"), chat.affinityToken() + "0" }) {
        chat.setAffinityToken(affinityToken);
        cr_assert(chat.send(rig.callerAddress(0), "again", 2).isComplete);
        cr_assert(chat.servedBy() == servingEngine, "the forged affinity token %s moved the chat",
            affinityToken.substr(0, 24).c_str());
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
    std::string exposed = call(rig.metricsAddress(0), "GET", "/metrics").body;
    exposed += rig.admin(0, "GET", "/admin/explain?request=" + answer.headers.at("X-Request-Id")).body;
    for (int i = 0; i < 5; ++i) {
        std::ifstream log(rig.folder() + "/" + Rig::vmId(i) + ".log");
        exposed.append(std::istreambuf_iterator<char>(log), std::istreambuf_iterator<char>());
    }
    for (const char* secret : { "4711-secret", "idempotency-key-secret", "card-secret", "wrong-secret", "key-of-ws1",
             "token-of-ops", "fleet-secret-for-tests" })
        cr_assert(exposed.find(secret) == std::string::npos, "%s was exposed", secret);
    cr_assert(exposed.find("chat-finished") != std::string::npos, "the logs do not contain the chat");
}
