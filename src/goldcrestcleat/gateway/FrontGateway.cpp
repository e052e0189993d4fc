#include "goldcrestcleat/gateway/FrontGateway.h"

#include <algorithm>

namespace goldcrestcleat::gateway {

using errors::ResultCode;

namespace {

    // Shares of the descriptors that callers' connections may take; each request needs one more towards its server, and
    // the peers need some. From the first share on, connections end with their answer, which frees those of idle
    // callers.
    constexpr double CROWDED_SHARE = 0.35;
    constexpr double FULL_SHARE = 0.5;

    http::ServerCapacity capacityFor(int descriptors)
    {
        return { static_cast<std::size_t>(CROWDED_SHARE * descriptors),
            static_cast<std::size_t>(FULL_SHARE * descriptors) };
    }

} // namespace

FrontGateway::FrontGateway(forwarding::RoutedEnvironment& env, const EntryDialect& entry, Hooks hooks)
    : env_(env)
    , entryDialect_(entry)
    , hooks_(std::move(hooks))
{
}

void FrontGateway::start()
{
    const auto& settings = env_.settings;
    callers_ = listen(settings.self.caller, [this](const http::Exchange::Ptr& exchange) { onCall(exchange); });
    callers_->setCapacity(capacityFor(settings.descriptors));
    callers_->onConnectionRejected = [this](const std::string& reason) {
        env_.log.infoRateLimited("caller-turned-away", { { "reason", reason } });
    };
    readiness_
        = listen(settings.readinessAddress, [this](const http::Exchange::Ptr& exchange) { onReadiness(exchange); });
    if (!settings.entryAddress.empty())
        entry_ = listen(settings.entryAddress, [this](const http::Exchange::Ptr& exchange) { onEntry(exchange); });
    setCallerLimits(limits_);
}

void FrontGateway::setCallerLimits(const routes::CallerLimits& limits)
{
    // A caller may still keep its connections for as long as the version before allowed.
    const loop::TimeMs idleMs = std::max(limits.idleTimeoutMs, limits_.idleTimeoutMs);
    limits_ = limits;
    if (!callers_)
        return;
    callers_->setLimits({ limits.headBytes, limits.bodyBytes });
    http::ServerTimeouts timeouts;
    timeouts.requestMs = limits.headTimeoutMs;
    timeouts.idleMs = idleMs;
    callers_->setTimeouts(timeouts);
}

void FrontGateway::beginStop() { callers_->closeAfterResponses(); }

void FrontGateway::closeIdle()
{
    callers_->closeListener();
    callers_->closeIdle();
}

// ---- private ----

std::unique_ptr<http::Server> FrontGateway::listen(const std::string& address, http::Server::Handler handler)
{
    const auto onError = [this](const http::Exchange::Ptr& exchange, ResultCode code, const std::string& context) {
        env_.log.infoRateLimited("bad-request", { { "code", static_cast<int>(code) }, { "context", context } });
        env_.dialect.refuse(*exchange, code, context, 0);
    };
    return std::make_unique<http::Server>(
        env_.requests.loop, address, http::Limits(), http::ServerTimeouts(), std::move(handler), onError);
}

void FrontGateway::onCall(const http::Exchange::Ptr& exchange) { forwarding::RoutedCall::start(env_, exchange); }

void FrontGateway::onReadiness(const http::Exchange::Ptr& exchange)
{
    if (!entryDialect_.isReadinessQuestion(*exchange)) {
        env_.dialect.refuse(*exchange, ResultCode::UnknownPath, "", 0);
        return;
    }
    exchange->reply(hooks_.isReady() ? 200 : 503, {}, "");
}

void FrontGateway::onEntry(const http::Exchange::Ptr& exchange)
{
    if (!entryDialect_.isEntryQuestion(*exchange)) {
        env_.dialect.refuse(*exchange, ResultCode::UnknownPath, "", 0);
        return;
    }
    auto addresses = hooks_.entryAddresses();
    if (addresses.size() > entryDialect_.maxAddresses) {
        // Another part each time, so that every daemon gets its share of the callers.
        std::shuffle(addresses.begin(), addresses.end(), env_.random);
        addresses.resize(entryDialect_.maxAddresses);
    }
    if (addresses.empty())
        env_.dialect.refuse(*exchange, ResultCode::NotReady, "", 0);
    else
        entryDialect_.answerEntry(*exchange, addresses, env_.settings.bounds.entryTtlMs);
}

} // namespace goldcrestcleat::gateway
