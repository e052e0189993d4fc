#pragma once

#include "goldcrestcleat/http/Server.h"
#include "goldcrestcleat/profiles/ProfileRegistry.h"
#include "goldcrestcleat/requests/ChatCompletion.h"
#include "goldcrestcleat/requests/Environment.h"
#include "goldcrestcleat/requests/ErrorResponse.h"

/// HTTP interfaces of a daemon for callers, operators and metrics.
namespace goldcrestcleat::gateway {

/// Serves callers: the list of entry addresses, chat completions and HTTP services.
class CallerGateway {
public:
    /// All references must outlive the gateway.
    CallerGateway(requests::Environment& env, const profiles::ProfileRegistry& profiles);

    /// Opens the listener. Throws Error with AddressInUse.
    void start();

    /// Stops accepting connections and closes idle ones; open requests continue.
    void closeListener();

    /// Closes idle connections and returns whether every connection is closed, with all responses delivered.
    bool isDrained();

private:
    void onRequest(const http::Exchange::Ptr& exchange);
    void route(const http::Exchange::Ptr& exchange, const std::string& requestId);
    void onEntries(const http::Exchange::Ptr& exchange);
    void onChat(const http::Exchange::Ptr& exchange, const std::string& requestId);
    void onService(const http::Exchange::Ptr& exchange, const std::string& requestId);
    requests::ChatCall readChat(const http::Exchange& exchange, const std::string& requestId) const;
    const settings::Workspace& authenticate(const http::Exchange& exchange) const;
    const profiles::Profile& profileOf(const std::string& name) const;
    std::string chooseModel(const nlohmann::json& body, const profiles::Profile& profile) const;
    void countOpenRequest(const settings::Workspace& workspace, const profiles::Profile& profile);
    void rejectRequest(
        const http::Exchange::Ptr& exchange, const requests::ErrorResponse& refusal, const std::string& requestId);

    requests::Environment& env_;
    const profiles::ProfileRegistry& profiles_;
    std::unique_ptr<http::Server> server_;
};

} // namespace goldcrestcleat::gateway
