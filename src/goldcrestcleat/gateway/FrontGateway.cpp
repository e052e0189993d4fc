#include "goldcrestcleat/gateway/FrontGateway.h"

#include "goldcrestcleat/gateway/ListenerCapacity.h"

#include <algorithm>

namespace goldcrestcleat::gateway {

using errors::ResultCode;

namespace {

    constexpr loop::TimeMs MEMORY_RETRY_AFTER_MS = 500;

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
    callers_ = listen(settings.self.caller, callerCapacity(settings.descriptors),
        [this](const http::Exchange::Ptr& exchange) { onCall(exchange); });
    callers_->onConnectionRejected = [this](const std::string& reason) {
        env_.log.infoRateLimited("caller-turned-away", { { "reason", reason } });
    };
    const auto auxiliary = auxiliaryCapacity(settings.descriptors);
    readiness_ = listen(
        settings.readinessAddress, auxiliary, [this](const http::Exchange::Ptr& exchange) { onReadiness(exchange); });
    if (!settings.entryAddress.empty())
        entry_ = listen(
            settings.entryAddress, auxiliary, [this](const http::Exchange::Ptr& exchange) { onEntry(exchange); });
    setCallerLimits(limits_);
}

void FrontGateway::setCallerLimits(const routes::CallerLimits& limits)
{
    // Callers may still rely on the idle timeout of the previous configuration, so the longer of the two applies.
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

std::unique_ptr<http::Server> FrontGateway::listen(
    const std::string& address, const http::ServerCapacity& capacity, http::Server::Handler handler)
{
    const auto onError = [this](const http::Exchange::Ptr& exchange, ResultCode code, const std::string& context) {
        env_.log.infoRateLimited("bad-request", { { "code", static_cast<int>(code) }, { "context", context } });
        env_.requests.metrics.onRequest("none", static_cast<int>(code));
        const bool isTemporary = code == ResultCode::MemoryLimit;
        env_.dialect.refuse(*exchange, code, context, isTemporary ? MEMORY_RETRY_AFTER_MS : 0);
    };
    auto server = std::make_unique<http::Server>(
        env_.requests.loop, address, http::Limits(), http::ServerTimeouts(), std::move(handler), onError);
    server->shareInputMemory(env_.requests.inputMemory);
    server->setCapacity(capacity);
    return server;
}

void FrontGateway::onCall(const http::Exchange::Ptr& exchange) { forwarding::RoutedCall::start(env_, exchange); }

void FrontGateway::onReadiness(const http::Exchange::Ptr& exchange)
{
    if (!entryDialect_.isReadinessRequest(*exchange)) {
        env_.dialect.refuse(*exchange, ResultCode::UnknownPath, "", 0);
        return;
    }
    exchange->reply(hooks_.isReady() ? 200 : 503, {}, "");
}

void FrontGateway::onEntry(const http::Exchange::Ptr& exchange)
{
    if (!entryDialect_.isEntryRequest(*exchange)) {
        env_.dialect.refuse(*exchange, ResultCode::UnknownPath, "", 0);
        return;
    }
    auto addresses = addressesFor(*exchange);
    if (addresses.size() > entryDialect_.maxAddresses) {
        // A random selection distributes callers over all daemons.
        std::shuffle(addresses.begin(), addresses.end(), env_.random);
        addresses.resize(entryDialect_.maxAddresses);
    }
    if (addresses.empty())
        env_.dialect.refuse(*exchange, ResultCode::NotReady, "", 0);
    else
        entryDialect_.sendEntryAddresses(*exchange, addresses, env_.settings.bounds.entryTtlMs);
}

/// Returns the addresses in the caller's region. If there are none, those in the regions that the routes of the host
/// permit, since requests may not be sent through any other.
std::vector<std::string> FrontGateway::addressesFor(const http::Exchange& exchange) const
{
    const auto all = hooks_.entryAddresses({});
    auto nearby = hooks_.entryAddresses({ entryDialect_.callerRegion(exchange) });
    const auto routes = env_.routes();
    if (nearby.size() < all.size() || !routes)
        return nearby;
    return hooks_.entryAddresses(routes->regionsOf(entryDialect_.requestedHost(exchange)));
}

} // namespace goldcrestcleat::gateway
