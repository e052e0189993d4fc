#pragma once

#include "goldcrestcleat/forwarding/RoutedCall.h"
#include "goldcrestcleat/http/Server.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace goldcrestcleat::gateway {

/// How callers ask for an address and how the platform asks for readiness; formats only.
struct EntryDialect {
    std::size_t maxAddresses = 0; ///< that callers take of one entry answer
    std::function<bool(const http::Exchange&)> isEntryQuestion;
    std::function<bool(const http::Exchange&)> isReadinessQuestion;
    std::function<void(http::Exchange&, const std::vector<std::string>& addresses, loop::TimeMs ttlMs)> answerEntry;
};

/// The listeners of a daemon that passes requests on: callers, readiness, and entry where it is served.
class FrontGateway {
public:
    struct Hooks {
        std::function<bool()> isReady;
        std::function<std::vector<std::string>()> entryAddresses; ///< of daemons that take requests
    };

    FrontGateway(forwarding::RoutedEnvironment& env, const EntryDialect& entry, Hooks hooks);

    /// Opens all listeners. Throws Error with AddressInUse.
    void start();

    /// Applies the operator's limits on what callers may send and how long they may take.
    void setCallerLimits(const routes::CallerLimits& limits);

    /// Makes each answer the last one of its connection.
    void beginStop();

    /// Stops to accept and closes connections without a request.
    void closeIdle();

    /// True when no caller is connected.
    bool isQuiet() const { return callers_->sessionCount() == 0; }

private:
    void onCall(const http::Exchange::Ptr& exchange);
    void onReadiness(const http::Exchange::Ptr& exchange);
    void onEntry(const http::Exchange::Ptr& exchange);
    std::unique_ptr<http::Server> listen(const std::string& address, http::Server::Handler handler);

    forwarding::RoutedEnvironment& env_;
    const EntryDialect& entryDialect_;
    Hooks hooks_;
    routes::CallerLimits limits_;
    std::unique_ptr<http::Server> callers_;
    std::unique_ptr<http::Server> readiness_;
    std::unique_ptr<http::Server> entry_;
};

} // namespace goldcrestcleat::gateway
