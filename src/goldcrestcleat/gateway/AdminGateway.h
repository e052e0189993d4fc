#pragma once

#include "goldcrestcleat/fleet/ConfigStore.h"
#include "goldcrestcleat/profiles/ProfileRegistry.h"
#include "goldcrestcleat/requests/Environment.h"
#include "goldcrestcleat/requests/ErrorResponse.h"

#include <memory>
#include <string>

namespace goldcrestcleat::gateway {

/// Serves the admin API on a listener of its own. Each request requires an operator's bearer token from the settings.
class AdminGateway {
public:
    /// All references must outlive the gateway.
    AdminGateway(requests::Environment& env, fleet::ConfigStore& store, const fleet::ConfigCache& config,
        const profiles::ProfileRegistry& profiles);

    /// Opens the listener. Throws Error with AddressInUse.
    void start();

private:
    void onRequest(const http::Exchange::Ptr& exchange);
    void route(const http::Exchange::Ptr& exchange, const std::string& operatorName);
    void onGet(const http::Exchange::Ptr& exchange);
    void onPost(const http::Exchange::Ptr& exchange, const std::string& operatorName);
    std::string authenticate(const http::Exchange& exchange) const;
    nlohmann::json status() const;
    nlohmann::json profileList() const;
    nlohmann::json bans() const;
    nlohmann::json explain(const http::Exchange& exchange) const;
    void sendAudit(const http::Exchange::Ptr& exchange);
    void publishProfile(const http::Exchange::Ptr& exchange, fleet::Change change, const nlohmann::json& body);
    void changeUpstream(const http::Exchange::Ptr& exchange, fleet::Change change, const nlohmann::json& body);
    void changeStop(const http::Exchange::Ptr& exchange, fleet::Change change, const nlohmann::json& body);
    void liftBan(const http::Exchange::Ptr& exchange, fleet::Change change, const nlohmann::json& body);
    void submit(const http::Exchange::Ptr& exchange, const fleet::Change& change);
    void rejectChange(const http::Exchange::Ptr& exchange, const fleet::ChangeResult& result);
    static void reply(const http::Exchange::Ptr& exchange, const nlohmann::json& body);

    requests::Environment& env_;
    fleet::ConfigStore& store_;
    const fleet::ConfigCache& config_;
    const profiles::ProfileRegistry& profiles_;
    std::unique_ptr<http::Server> server_;
};

} // namespace goldcrestcleat::gateway
