#include "harness/Rig.h"

#include <iostream>

/// Starts a small deployment on loopback addresses, sends requests through it and prints the results.

using namespace goldcrestcleat::harness;

namespace {

int failures = 0;

void report(bool hasPassed, const std::string& description)
{
    std::cout << (hasPassed ? "ok      " : "FAILED  ") << description << std::endl;
    failures += !hasPassed;
}

std::string firstEntryAddress(Rig& rig, const std::string& chat)
{
    const auto answer
        = call(rig.callerAddress(0), "GET", "/v1/entries?workspace=" + Rig::workspaceId(0) + "&chat=" + chat);
    const auto entries = answer.json();
    report(answer.status == 200 && entries["entries"].size() == 5,
        "entry answer: " + std::to_string(entries["entries"].size()) + " addresses, use the first for "
            + entries["ttlMs"].dump() + " ms");
    return entries["entries"][0]["address"];
}

void checkChat(Rig& rig)
{
    Chat chat = rig.chat("mittens");
    const std::string address = firstEntryAddress(rig, "mittens");
    const std::string question = "Mittens takes half a pill with breakfast. What do I tell the sitter?";
    const std::string expected = chat.expectedAnswer(question, 12);
    const auto first = chat.send(address, question, 12);
    report(first.isComplete && first.text == expected,
        "streamed answer at " + address + ": " + std::to_string(first.parts) + " parts from " + chat.servedBy());
    const std::string engine = chat.servedBy();
    sleepMs(500);
    const auto second = chat.send(address, "And in the evening?", 12);
    report(second.isComplete && chat.servedBy() == engine,
        "a second message after a pause was served by " + chat.servedBy());
    const auto lines = rig.truth(engine);
    for (const auto& line : lines) {
        if (line["event"] == "start" && line["turns"] == 3)
            report(line["warm"].get<int>() > 0,
                "the engine found " + line["warm"].dump() + " of " + line["prompt"].dump()
                    + " prompt tokens in its cache");
    }
}

void checkServices(Rig& rig)
{
    const auto first = rig.callService(0, "POST", "/visits/confirm", "visit-17", R"({"visit":17})");
    const auto second = rig.callService(3, "POST", "/visits/confirm", "visit-17", R"({"visit":17})");
    report(first.status == 200, "confirmed visit 17: " + first.body);
    report(second.status == 200 && second.body == first.body,
        "repeated the request with the same idempotency key at another VM: " + second.body);
    report(rig.countRuns("visit-17") == 1,
        "the services executed it " + std::to_string(rig.countRuns("visit-17")) + " time(s)");
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
    checkChat(rig);
    checkServices(rig);
    rig.daemon(4).signal(15);
    report(rig.daemon(4).waitForExit(10'000) == 0, "a planned stop of a daemon completed");
    std::cout << (failures == 0 ? "all checks passed" : "some checks failed") << std::endl;
    return failures == 0 ? 0 : 1;
}
