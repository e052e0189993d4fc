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
