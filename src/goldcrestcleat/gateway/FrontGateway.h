#pragma once

#include "goldcrestcleat/forwarding/RoutedCall.h"
#include "goldcrestcleat/http/Server.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace goldcrestcleat::gateway {

/// Message formats by which callers query entry addresses and the platform queries readiness.
struct EntryDialect {
    std::size_t maxAddresses = 0; ///< maximum number of addresses in one response
    std::function<bool(const http::Exchange&)> isEntryRequest;
    std::function<bool(const http::Exchange&)> isReadinessRequest;
    std::function<std::string(const http::Exchange&)> callerRegion; ///< of an entry request; empty if not stated
    std::function<std::string(const http::Exchange&)> requestedHost; ///< of an entry request; empty if not stated
    std::function<void(http::Exchange&, const std::vector<std::string>& addresses, loop::TimeMs ttlMs)>
        sendEntryAddresses;
};

/// The listeners of a forwarding daemon: for callers, readiness checks and, if configured, entry addresses.
class FrontGateway {
public:
    struct Hooks {
        std::function<bool()> isReady;
        /// Returns the addresses of the daemons that accept requests, in the preferred regions if there are any.
        std::function<std::vector<std::string>(const std::vector<std::string>& preferredRegions)> entryAddresses;
    };

    FrontGateway(forwarding::RoutedEnvironment& env, const EntryDialect& entry, Hooks hooks);

    /// Opens all listeners. Throws Error with AddressInUse.
    void start();

    /// Applies the configured size limits and timeouts for callers.
    void setCallerLimits(const routes::CallerLimits& limits);

    /// Closes each connection after its next response.
    void beginStop();

    /// Stops accepting connections and closes those without an open request.
    void closeIdle();

    /// Returns whether no caller is connected.
    bool isDrained() const { return callers_->sessionCount() == 0; }

    /// Returns the memory that the requests of callers take.
    std::size_t requestBytes() const { return callers_->inputBytes(); }

private:
    void onCall(const http::Exchange::Ptr& exchange);
    void onReadiness(const http::Exchange::Ptr& exchange);
    void onEntry(const http::Exchange::Ptr& exchange);
    std::vector<std::string> addressesFor(const http::Exchange& exchange) const;
    std::unique_ptr<http::Server> listen(
        const std::string& address, const http::ServerCapacity& capacity, http::Server::Handler handler);

    forwarding::RoutedEnvironment& env_;
    const EntryDialect& entryDialect_;
    Hooks hooks_;
    routes::CallerLimits limits_;
    std::unique_ptr<http::Server> callers_;
    std::unique_ptr<http::Server> readiness_;
    std::unique_ptr<http::Server> entry_;
};

} // namespace goldcrestcleat::gateway
