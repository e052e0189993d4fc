#include "goldcrestcleat/upstreams/Prober.h"

#include "goldcrestcleat/http/Server.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat;

namespace {

/// Answers probes with a body and returns the loads that the prober reports for the engine.
std::vector<int> reportsFor(const std::string& body)
{
    loop::EventLoop loop;
    http::Server engine(
        loop, "127.0.0.1:0", http::Limits(), http::ServerTimeouts(),
        [&](const http::Exchange::Ptr& exchange) { exchange->reply(200, {}, body); },
        [](const http::Exchange::Ptr&, errors::ResultCode, const std::string&) {});
    settings::Settings settings;
    settings.engines.push_back({ "engine1", engine.address(), "dc1", "m" });
    routing::LoadView view(500);
    upstreams::UpstreamDirectory directory(settings, view);
    std::vector<int> reports;
    upstreams::Prober prober(loop, directory,
        { [](routing::NodeKey) { return true; },
            [&](routing::NodeKey, int running) {
                reports.push_back(running);
                loop.stop();
            },
            [](const upstreams::Upstream&) {} });
    prober.start();
    loop.after(700, [&] { loop.stop(); });
    loop.run();
    return reports;
}

/// Answers two probes with a body that the prober does not take for a report, and returns whether it takes the third.
bool goesOnAfter(const std::string& body)
{
    loop::EventLoop loop;
    int probes = 0;
    http::Server engine(
        loop, "127.0.0.1:0", http::Limits(), http::ServerTimeouts(),
        [&](const http::Exchange::Ptr& exchange) {
            exchange->reply(200, {}, ++probes <= 2 ? body : R"({"state":"serving","run":"r"})");
        },
        [](const http::Exchange::Ptr&, errors::ResultCode, const std::string&) {});
    settings::Settings settings;
    settings.engines.push_back({ "engine1", engine.address(), "dc1", "m" });
    routing::LoadView view(500);
    upstreams::UpstreamDirectory directory(settings, view);
    upstreams::Prober prober(loop, directory, {});
    bool isAlive = false;
    const auto key = routing::nodeKey("engine1");
    prober.probeNow(key, [&](const upstreams::ProbeResult&) {
        prober.probeNow(key, [&](const upstreams::ProbeResult&) {
            prober.probeNow(key, [&](const upstreams::ProbeResult& result) {
                isAlive = result.isAlive;
                loop.stop();
            });
        });
    });
    loop.run();
    return isAlive;
}

/// Returns whether an engine with run `r` is found to run it, if it closes the connections of its first probes.
bool isConfirmed(int closedProbes, const std::string& expectedRun)
{
    loop::EventLoop loop;
    int probes = 0;
    http::Server engine(
        loop, "127.0.0.1:0", http::Limits(), http::ServerTimeouts(),
        [&](const http::Exchange::Ptr& exchange) {
            if (++probes <= closedProbes)
                exchange->abort();
            else
                exchange->reply(200, {}, R"({"server_load":0,"state":"serving","run":"r"})");
        },
        [](const http::Exchange::Ptr&, errors::ResultCode, const std::string&) {});
    settings::Settings settings;
    settings.engines.push_back({ "engine1", engine.address(), "dc1", "m" });
    routing::LoadView view(500);
    upstreams::UpstreamDirectory directory(settings, view);
    upstreams::Prober prober(loop, directory, {});
    bool result = false;
    prober.confirmRunning(routing::nodeKey("engine1"), expectedRun, [&](bool isRunning) {
        result = isRunning;
        loop.stop();
    });
    loop.run();
    return result;
}

} // namespace

Test(prober, a_reported_load_is_passed_on)
{
    const auto reports = reportsFor(R"({"server_load":3,"state":"serving","run":"r"})");
    cr_assert(!reports.empty() && reports.front() == 3);
}

Test(prober, a_missing_or_invalid_load_does_not_count_as_an_idle_engine)
{
    cr_assert(reportsFor(R"({"state":"serving","run":"r"})").empty());
    cr_assert(reportsFor(R"({"server_load":"many","state":"serving","run":"r"})").empty());
}

// Guards against taking a sound answer without a length for one that broke off because a packet of the probe was lost.
Test(prober, one_failed_probe_does_not_show_that_a_process_has_ended)
{
    cr_assert(isConfirmed(0, "r"));
    cr_assert(isConfirmed(1, "r"));
    cr_assert_not(isConfirmed(2, "r"));
    cr_assert_not(isConfirmed(0, "earlier"));
    cr_assert_not(isConfirmed(1, "earlier"));
}

// Guards against a health document with fields of other types, which ended the daemon by an exception.
Test(prober, a_field_of_another_type_is_ignored)
{
    for (const char* body : { R"({"state":5})", R"({"run":5})", R"({"state":null,"run":{}})", R"({"server_load":[]})" })
        cr_assert(goesOnAfter(body), "%s", body);
}
