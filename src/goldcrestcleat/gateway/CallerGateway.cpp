#include "goldcrestcleat/gateway/CallerGateway.h"

#include "goldcrestcleat/gateway/ListenerCapacity.h"
#include "goldcrestcleat/observe/Digest.h"
#include "goldcrestcleat/requests/ServiceExchange.h"

#include <algorithm>

namespace goldcrestcleat::gateway {

using errors::RequestError;
using errors::ResultCode;
using nlohmann::json;

namespace {

    constexpr std::size_t REQUEST_ID_BYTES = 8;
    constexpr std::size_t MAX_ID_BYTES = 256; // of chat ids and idempotency keys
    const std::string SERVICE_PREFIX = "/v1/services/";
    const std::string BEARER_PREFIX = "Bearer ";

    std::string bearerToken(const http::Exchange& exchange)
    {
        const std::string field = exchange.header("Authorization");
        return field.rfind(BEARER_PREFIX, 0) == 0 ? field.substr(BEARER_PREFIX.size()) : "";
    }

    json parseBody(const std::string& body)
    {
        json document;
        try {
            document = json::parse(body);
        } catch (const json::exception& e) {
            throw RequestError(
                ResultCode::BadJson, "request body of " + std::to_string(body.size()) + " bytes is not valid JSON");
        }
        if (!document.is_object())
            throw RequestError(ResultCode::BadJson, "request body must be a JSON object");
        return document;
    }

    bool isSafeMethod(const std::string& method) { return method == "GET" || method == "HEAD"; }

    std::string boundedHeader(const http::Exchange& exchange, const std::string& name)
    {
        std::string value = exchange.header(name);
        if (value.size() > MAX_ID_BYTES)
            throw RequestError(ResultCode::InvalidField, name + " exceeds 256 bytes");
        return value;
    }

    /// Returns the fingerprints of a chat: its messages are the parts of the prompt.
    std::vector<admission::Fingerprint> fingerprintsOf(
        const settings::Workspace& workspace, const std::string& body, const json& messages)
    {
        std::vector<std::string> texts;
        for (const auto& message : messages)
            texts.push_back(message.dump(-1, ' ', false, json::error_handler_t::replace));
        return admission::fingerprintsOf(
            admission::fingerprintOf(workspace.id, body), std::vector<std::string_view>(texts.begin(), texts.end()));
    }

    /// Returns the first message, which identifies a chat that has no id.
    std::string firstMessage(const json& body) { return body["messages"].front().dump(); }

} // namespace

CallerGateway::CallerGateway(requests::Environment& env, const profiles::ProfileRegistry& profiles)
    : env_(env)
    , profiles_(profiles)
{
}

void CallerGateway::start()
{
    const auto& timeouts = env_.settings.timeouts;
    server_ = std::make_unique<http::Server>(
        env_.loop, env_.settings.self.caller, env_.settings.limits,
        http::ServerTimeouts { timeouts.requestReadMs, timeouts.callerIdleMs, timeouts.callerStallMs },
        [this](const http::Exchange::Ptr& exchange) { onRequest(exchange); },
        [this](const http::Exchange::Ptr& exchange, ResultCode code, const std::string& context) {
            rejectRequest(exchange, { code, context, std::nullopt, 0, false }, observe::randomHex(REQUEST_ID_BYTES));
        });
    server_->shareInputMemory(env_.forwarding.inputMemory);
    server_->setCapacity(callerCapacity(descriptorLimit()));
    server_->onConnectionRejected = [this](const std::string& reason) {
        env_.log.infoRateLimited("caller-turned-away", { { "reason", reason } });
    };
}

void CallerGateway::closeListener()
{
    server_->closeListener();
    server_->closeIdle();
}

bool CallerGateway::isDrained()
{
    server_->closeIdle();
    return server_->sessionCount() == 0;
}

// ---- private ----

void CallerGateway::onRequest(const http::Exchange::Ptr& exchange)
{
    const std::string requestId = observe::randomHex(REQUEST_ID_BYTES);
    try {
        route(exchange, requestId);
    } catch (const errors::Error& e) {
        rejectRequest(exchange, { e.code(), e.what(), std::nullopt, 0, false }, requestId);
    } catch (const std::exception& e) {
        env_.log.error("internal-fault", { { "request", requestId }, { "what", e.what() } });
        rejectRequest(exchange, { ResultCode::Internal, "", std::nullopt, 0, false }, requestId);
    }
}

void CallerGateway::route(const http::Exchange::Ptr& exchange, const std::string& requestId)
{
    const std::string& path = exchange->path();
    const std::string& method = exchange->head().getMethod();
    if (path == "/v1/entries") {
        if (!isSafeMethod(method))
            throw RequestError(ResultCode::MethodNotAllowed, method);
        onEntries(exchange);
        return;
    }
    if (path == "/v1/chat/completions") {
        if (method != "POST")
            throw RequestError(ResultCode::MethodNotAllowed, method);
        onChat(exchange, requestId);
        return;
    }
    if (path.rfind(SERVICE_PREFIX, 0) == 0) {
        onService(exchange, requestId);
        return;
    }
    throw RequestError(ResultCode::UnknownPath, path);
}

void CallerGateway::onEntries(const http::Exchange::Ptr& exchange)
{
    const std::string workspace = exchange->query("workspace");
    if (workspace.empty())
        throw RequestError(ResultCode::MissingWorkspace, "query parameter 'workspace' is missing");
    const auto& list = env_.settings.workspaces;
    const bool isKnown = std::any_of(list.begin(), list.end(), [&](const auto& w) { return w.id == workspace; });
    if (!isKnown)
        throw RequestError(ResultCode::UnknownWorkspace, workspace);
    std::string model = exchange->query("model");
    if (model.empty() && !env_.settings.engines.empty())
        model = env_.settings.engines.front().model;
    const auto chat = routing::chatKey(workspace, exchange->query("chat"));
    json entries = json::array();
    for (const auto& vm :
        env_.fleet.entryVmsFor(model, chat, env_.affinityTokens.verify(chat, exchange->query("hint"))))
        entries.push_back({ { "vm", vm.id }, { "address", vm.caller }, { "dataCentre", vm.dataCentre } });
    const json body = { { "entries", entries }, { "ttlMs", env_.settings.timeouts.entryTtlMs } };
    env_.metrics.onRequest("entry", 0);
    exchange->reply(200, { { "Content-Type", "application/json" } }, body.dump());
}

void CallerGateway::onChat(const http::Exchange::Ptr& exchange, const std::string& requestId)
{
    requests::ChatCall call = readChat(*exchange, requestId);
    if (!env_.fleet.isReady())
        throw RequestError(ResultCode::NotReady, "");
    countOpenRequest(*call.workspace, call.profile);
    requests::ChatCompletion::start(env_, exchange, std::move(call));
}

requests::ChatCall CallerGateway::readChat(const http::Exchange& exchange, const std::string& requestId) const
{
    requests::ChatCall call;
    call.requestId = requestId;
    call.workspace = &authenticate(exchange);
    call.body = parseBody(exchange.body());
    const auto messages = call.body.find("messages");
    if (messages == call.body.end() || !messages->is_array() || messages->empty())
        throw RequestError(ResultCode::InvalidField, "/messages must be a non-empty array");
    const auto stream = call.body.find("stream");
    if (stream != call.body.end() && !stream->is_boolean())
        throw RequestError(ResultCode::InvalidField, "/stream must be a boolean");
    call.isStream = stream != call.body.end() && stream->get<bool>();
    call.profile = profileOf(boundedHeader(exchange, "X-Profile"));
    call.model = chooseModel(call.body, call.profile);
    call.chatId = boundedHeader(exchange, "X-Chat");
    const std::string name = call.chatId.empty() ? firstMessage(call.body) : call.chatId;
    call.chat = routing::chatKey(call.workspace->id, name);
    call.isReturning = messages->size() > 1;
    call.affinityToken = exchange.header("X-Hint");
    call.fingerprints = fingerprintsOf(*call.workspace, exchange.body(), *messages);
    return call;
}

void CallerGateway::onService(const http::Exchange::Ptr& exchange, const std::string& requestId)
{
    requests::ServiceCall call;
    call.requestId = requestId;
    call.workspace = &authenticate(*exchange);
    call.profile = profileOf(boundedHeader(*exchange, "X-Profile"));
    const std::string uri = exchange->head().getURI();
    const auto nameEnd = std::min(uri.find_first_of("/?", SERVICE_PREFIX.size()), uri.size());
    call.service = uri.substr(SERVICE_PREFIX.size(), nameEnd - SERVICE_PREFIX.size());
    call.target = nameEnd == uri.size() ? "/" : uri.substr(nameEnd);
    if (call.target.front() == '?')
        call.target = "/" + call.target;
    call.method = exchange->head().getMethod();
    call.contentType = exchange->header("Content-Type");
    call.body = exchange->body();
    if (!env_.directory.knowsService(call.service))
        throw RequestError(ResultCode::UnknownService, call.service);
    if (!isSafeMethod(call.method) || call.profile.mustNotRepeat) {
        call.idempotencyKey = boundedHeader(*exchange, "Idempotency-Key");
        if (call.idempotencyKey.empty())
            throw RequestError(ResultCode::IdempotencyKeyRequired, call.method);
    }
    if (!env_.fleet.isReady())
        throw RequestError(ResultCode::NotReady, "");
    countOpenRequest(*call.workspace, call.profile);
    requests::ServiceExchange::start(env_, exchange, std::move(call));
}

const settings::Workspace& CallerGateway::authenticate(const http::Exchange& exchange) const
{
    const std::string id = exchange.header("X-Workspace");
    if (id.empty())
        throw RequestError(ResultCode::MissingWorkspace, "header X-Workspace is missing");
    const auto& list = env_.settings.workspaces;
    const auto workspace = std::find_if(list.begin(), list.end(), [&](const auto& w) { return w.id == id; });
    if (workspace == list.end())
        throw RequestError(ResultCode::UnknownWorkspace, id);
    if (!observe::equalConstantTime(observe::sha256Hex(bearerToken(exchange)), workspace->keyHash))
        throw RequestError(ResultCode::BadWorkspaceKey, id);
    return *workspace;
}

const profiles::Profile& CallerGateway::profileOf(const std::string& name) const
{
    const auto* profile = profiles_.find(name.empty() ? profiles::ProfileRegistry::DEFAULT_NAME : name);
    if (!profile)
        throw RequestError(ResultCode::UnknownProfile, name);
    return *profile;
}

std::string CallerGateway::chooseModel(const json& body, const profiles::Profile& profile) const
{
    std::string model = profile.model;
    if (body.contains("model")) {
        if (!body["model"].is_string())
            throw RequestError(ResultCode::InvalidField, "/model must be a string");
        model = body["model"].get<std::string>();
    }
    if (model.empty() && !env_.settings.engines.empty())
        model = env_.settings.engines.front().model;
    if (!env_.view.hasModel(model))
        throw RequestError(ResultCode::UnknownModel, model);
    return model;
}

void CallerGateway::countOpenRequest(const settings::Workspace& workspace, const profiles::Profile& profile)
{
    const std::string workspaceName = "workspace/" + workspace.id;
    const std::string profileName = "profile/" + workspace.id + "/" + profile.name;
    if (!env_.openCounts.tryOpen(workspaceName, workspace.maxOpen))
        throw RequestError(ResultCode::WorkspaceLimit, workspace.id);
    if (env_.openCounts.tryOpen(profileName, profile.maxOpenPerWorkspace))
        return;
    env_.openCounts.close(workspaceName);
    throw RequestError(ResultCode::WorkspaceLimit, workspace.id + " with profile " + profile.name);
}

void CallerGateway::rejectRequest(
    const http::Exchange::Ptr& exchange, const requests::ErrorResponse& refusal, const std::string& requestId)
{
    env_.metrics.onRequest("refused", static_cast<int>(refusal.code));
    env_.log.info("refused", { { "request", requestId }, { "code", static_cast<int>(refusal.code) } });
    requests::refuse(*exchange, refusal, requestId);
}

} // namespace goldcrestcleat::gateway
