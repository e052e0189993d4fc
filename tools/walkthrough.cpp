#include "harness/Rig.h"

#include <iostream>

/// Starts a whole small deployment on loopback, sends real requests through it and prints what happened.

using namespace goldcrestcleat::harness;

namespace {

int failures = 0;

void report(bool isRight, const std::string& what)
{
    std::cout << (isRight ? "ok      " : "WRONG   ") << what << std::endl;
    failures += !isRight;
}

std::string firstEntry(Rig& rig, const std::string& chat)
{
    const auto answer
        = call(rig.callerAddress(0), "GET", "/v1/entries?workspace=" + Rig::workspaceId(0) + "&chat=" + chat);
    const auto entries = answer.json();
    report(answer.status == 200 && entries["entries"].size() == 5,
        "entry answer: " + std::to_string(entries["entries"].size()) + " addresses, use the first for "
            + entries["ttlMs"].dump() + " ms");
    return entries["entries"][0]["address"];
}

void walkChat(Rig& rig)
{
    Chat chat = rig.chat("mittens");
    const std::string address = firstEntry(rig, "mittens");
    const std::string question = "Mittens takes half a pill with breakfast. What do I tell the sitter?";
    const std::string expected = chat.expectedAnswer(question, 12);
    const auto first = chat.say(address, question, 12);
    report(first.isWhole && first.text == expected,
        "streamed answer at " + address + ": " + std::to_string(first.parts) + " parts from " + chat.servedBy());
    const std::string engine = chat.servedBy();
    sleepMs(500);
    const auto second = chat.say(address, "And in the evening?", 12);
    report(second.isWhole && chat.servedBy() == engine,
        "the chat came back after a pause and was served by " + chat.servedBy());
    const auto lines = rig.truth(engine);
    for (const auto& line : lines) {
        if (line["event"] == "start" && line["turns"] == 3)
            report(line["warm"].get<int>() > 0,
                "the engine found " + line["warm"].dump() + " of " + line["prompt"].dump() + " prompt tokens warm");
    }
}

void walkServices(Rig& rig)
{
    const auto first = rig.callService(0, "POST", "/visits/confirm", "visit-17", R"({"visit":17})");
    const auto second = rig.callService(3, "POST", "/visits/confirm", "visit-17", R"({"visit":17})");
    report(first.status == 200, "confirmed visit 17: " + first.body);
    report(second.status == 200 && second.body == first.body,
        "confirmed it again with the same key at another VM: " + second.body);
    report(rig.countRuns("visit-17") == 1,
        "the services ran it " + std::to_string(rig.countRuns("visit-17")) + " time(s)");
    const auto rota = rig.callService(1, "GET", "/rota?week=49", "");
    report(rota.status == 200, "read the rota: " + rota.body);
}

} // namespace

int main()
{
    RigOptions options;
    options.engines = 20;
    options.services = 4;
    options.workspaces = 10;
    Rig rig(options);
    rig.start();
    std::cout << "started 1 platform, 20 engines, 4 services and 5 daemons on loopback" << std::endl;
    walkChat(rig);
    walkServices(rig);
    rig.daemon(4).signal(15);
    report(rig.daemon(4).waitForExit(10'000) == 0, "a daemon stopped as planned");
    std::cout << (failures == 0 ? "everything went as it should" : "something went wrong") << std::endl;
    return failures == 0 ? 0 : 1;
}
