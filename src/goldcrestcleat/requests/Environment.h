#pragma once

#include "goldcrestcleat/admission/OpenCounts.h"
#include "goldcrestcleat/admission/Quarantine.h"
#include "goldcrestcleat/admission/RetryBudget.h"
#include "goldcrestcleat/fleet/Fleet.h"
#include "goldcrestcleat/forwarding/ForwardedRequest.h"
#include "goldcrestcleat/http/Client.h"
#include "goldcrestcleat/observe/Explanations.h"
#include "goldcrestcleat/observe/Log.h"
#include "goldcrestcleat/observe/Metrics.h"
#include "goldcrestcleat/routing/AffinityTokenSigner.h"
#include "goldcrestcleat/upstreams/Prober.h"
#include "goldcrestcleat/upstreams/UpstreamDirectory.h"

#include <random>

/// Requests by the native interface: chat completions and calls of plain services.
namespace goldcrestcleat::requests {

class Claims;

/// The parts of the daemon that requests use; all of them outlive the requests.
struct Environment {
    loop::EventLoop& loop;
    const settings::Settings& settings;
    const observe::Log& log;
    observe::Metrics& metrics;
    observe::Explanations& explanations;
    http::Client& client;
    upstreams::UpstreamDirectory& directory;
    upstreams::Prober& prober;
    routing::LoadView& view;
    fleet::Fleet& fleet;
    admission::Quarantine& quarantine;
    admission::RetryBudget& retryBudget;
    admission::OpenCounts& openCounts;
    const routing::AffinityTokenSigner& affinityTokens;
    Claims& claims;
    std::mt19937_64& random;
    forwarding::Environment& forwarding;
};

} // namespace goldcrestcleat::requests
