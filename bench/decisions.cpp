#include "goldcrestcleat/admission/FairQueue.h"
#include "goldcrestcleat/fleet/ConfigCache.h"
#include "goldcrestcleat/fleet/Ownership.h"
#include "goldcrestcleat/fleet/PeerMessages.h"
#include "goldcrestcleat/routing/AdmissionController.h"
#include "goldcrestcleat/routing/AffinityTokenSigner.h"
#include "goldcrestcleat/routing/ChatAffinityCache.h"
#include "goldcrestcleat/routing/Placement.h"

#include <benchmark/benchmark.h>

/// Benchmarks single decisions at growing sizes; run with `--benchmark_format=console`.

namespace {

using namespace goldcrestcleat;
using namespace goldcrestcleat::routing;

LoadView viewOf(int engines)
{
    LoadView view(500);
    for (int i = 0; i < engines; ++i)
        view.putEngine({ nodeKey("engine" + std::to_string(i)), "m", 64, true });
    return view;
}

void placeReturningChat(benchmark::State& state)
{
    const auto view = viewOf(static_cast<int>(state.range(0)));
    std::mt19937_64 random(1);
    PlacementQuery query;
    query.model = "m";
    query.preferredEngine = view.eligible("m").front();
    for (auto _ : state) {
        ++query.chat;
        benchmark::DoNotOptimize(choosePlacement(view, query, random));
    }
    state.SetComplexityN(state.range(0));
}

void placeNewChat(benchmark::State& state)
{
    const auto view = viewOf(static_cast<int>(state.range(0)));
    std::mt19937_64 random(1);
    PlacementQuery query;
    query.model = "m";
    for (auto _ : state) {
        ++query.chat;
        benchmark::DoNotOptimize(choosePlacement(view, query, random));
    }
    state.SetComplexityN(state.range(0));
}

void placeByLoad(benchmark::State& state)
{
    const auto view = viewOf(static_cast<int>(state.range(0)));
    std::mt19937_64 random(1);
    PlacementQuery query;
    query.model = "m";
    query.tried = { view.eligible("m").front() };
    for (auto _ : state)
        benchmark::DoNotOptimize(choosePlacement(view, query, random));
    state.SetComplexityN(state.range(0));
}

void grantAndRelease(benchmark::State& state)
{
    auto view = viewOf(static_cast<int>(state.range(0)));
    AdmissionController controller(view, {}, [](const AdmissionDecision&) {});
    const auto keys = view.eligible("m");
    for (const auto key : keys)
        controller.open(key, 0, 0);
    TicketId ticket = 0;
    for (auto _ : state) {
        const auto key = keys[++ticket % keys.size()];
        controller.submit({ key, 1, ticket, 1, 1, 1, 0, false }, ticket);
        controller.release(key, 1, ticket, ticket);
    }
    state.SetComplexityN(state.range(0));
}

void tickAdmission(benchmark::State& state)
{
    auto view = viewOf(static_cast<int>(state.range(0)));
    AdmissionController controller(view, {}, [](const AdmissionDecision&) {});
    for (const auto key : view.eligible("m"))
        controller.open(key, 0, 0);
    loop::TimeMs now = 0;
    for (auto _ : state) {
        controller.tick(++now);
        benchmark::DoNotOptimize(controller.overloaded());
    }
    state.SetComplexityN(state.range(0));
}

void changeEngine(benchmark::State& state)
{
    auto view = viewOf(static_cast<int>(state.range(0)));
    bool eligible = false;
    for (auto _ : state) {
        view.putEngine({ nodeKey("engine0"), "m", 64, eligible });
        eligible = !eligible;
        benchmark::DoNotOptimize(view.hashedEngine("m", 1));
    }
    state.SetComplexityN(state.range(0));
}

void rememberChat(benchmark::State& state)
{
    ChatAffinityCache memory(static_cast<std::size_t>(state.range(0)) * 16);
    ChatKey chat = 0;
    for (auto _ : state) {
        memory.put(++chat, 7);
        benchmark::DoNotOptimize(memory.find(chat / 2));
    }
    state.SetComplexityN(state.range(0));
}

void rankOwners(benchmark::State& state)
{
    std::vector<NodeKey> daemons;
    for (int i = 0; i < state.range(0); ++i)
        daemons.push_back(nodeKey("vm" + std::to_string(i)));
    fleet::Ownership ownership;
    ownership.setDaemons(daemons);
    NodeKey upstream = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(ownership.ranked(++upstream));
    state.SetComplexityN(state.range(0));
}

void applyConfig(benchmark::State& state)
{
    fleet::ConfigCache cache;
    for (int i = 0; i < state.range(0); ++i)
        cache.apply({ "profile", "p" + std::to_string(i), 1, { { "deadlineMs", 1000 } } });
    std::uint64_t version = 1;
    for (auto _ : state)
        cache.apply({ "profile", "p0", ++version, { { "deadlineMs", 1000 } } });
    state.SetComplexityN(state.range(0));
}

void pushAndPop(benchmark::State& state)
{
    admission::FairQueue<int> queue;
    for (int i = 0; i < state.range(0); ++i)
        queue.push(static_cast<std::uint64_t>(i % 260), 1, 1, i);
    for (auto _ : state) {
        queue.push(7, 1, 1, 1);
        benchmark::DoNotOptimize(queue.pop());
    }
    state.SetComplexityN(state.range(0));
}

void codeTicketRequest(benchmark::State& state)
{
    for (auto _ : state)
        benchmark::DoNotOptimize(
            fleet::decode(fleet::encode(fleet::AcquireTicket { 70'000, 0xffffffff, 0xffff, 1, 8, 300, false, 0 })));
}

void signAndVerifyToken(benchmark::State& state)
{
    const AffinityTokenSigner signer("fleet-secret-for-benches");
    ChatKey chat = 0;
    for (auto _ : state) {
        ++chat;
        benchmark::DoNotOptimize(signer.verify(chat, signer.sign(chat, 7)));
    }
}

// Four benchmarks print names other than their functions', so that results compare with those of earlier runs.
BENCHMARK(placeReturningChat)->Arg(20)->Arg(100)->Arg(600)->Arg(2400)->Complexity();
BENCHMARK(placeNewChat)->Arg(20)->Arg(100)->Arg(600)->Arg(2400)->Complexity();
BENCHMARK(placeByLoad)->Arg(20)->Arg(100)->Arg(600)->Arg(2400)->Complexity();
BENCHMARK(grantAndRelease)->Arg(20)->Arg(100)->Arg(600)->Arg(2400)->Complexity();
BENCHMARK(tickAdmission)->Name("deskTick")->Arg(4)->Arg(20)->Arg(100)->Arg(600)->Complexity();
BENCHMARK(changeEngine)->Arg(20)->Arg(100)->Arg(600)->Arg(2400)->Complexity();
BENCHMARK(rememberChat)->Arg(1'000)->Arg(10'000)->Arg(100'000)->Arg(1'000'000)->Complexity();
BENCHMARK(rankOwners)->Name("rankHomes")->Arg(5)->Arg(50)->Arg(330)->Arg(1000)->Complexity();
BENCHMARK(applyConfig)->Arg(10)->Arg(100)->Arg(1'000)->Arg(10'000)->Complexity();
BENCHMARK(pushAndPop)->Arg(10)->Arg(100)->Arg(1'000)->Arg(10'000)->Complexity();
BENCHMARK(codeTicketRequest)->Name("codeAsk");
BENCHMARK(signAndVerifyToken)->Name("sealAndOpenHint");

} // namespace

BENCHMARK_MAIN();
