#include "goldcrestcleat/gateway/AdminGateway.h"

#include "goldcrestcleat/gateway/ListenerCapacity.h"
#include "goldcrestcleat/observe/Digest.h"

#include <algorithm>

namespace goldcrestcleat::gateway {

using errors::RequestError;
using errors::ResultCode;
using nlohmann::json;

namespace {

    constexpr int DEFAULT_AUDIT_ROWS = 100;
    constexpr int MAX_AUDIT_ROWS = 500;
    constexpr std::size_t MAX_CHANGE_ID_BYTES = 64;
    const std::string BEARER_PREFIX = "Bearer ";

    std::string requiredText(const json& body, const char* key)
    {
        const auto member = body.find(key);
        if (member == body.end() || !member->is_string() || member->get<std::string>().empty())
            throw RequestError(ResultCode::InvalidField, std::string("/") + key + " must be a non-empty string");
        return member->get<std::string>();
    }

    json parseBody(const std::string& text)
    {
        json body = json::parse(text, nullptr, false);
        if (!body.is_object())
            throw RequestError(ResultCode::BadJson, "request body must be a JSON object");
        return body;
    }

    /// Returns the members whose values differ, each with its old and new value.
    json difference(const json& before, const json& after)
    {
        json changes = json::object();
        for (const auto& [key, value] : after.items()) {
            const json old = before.is_object() && before.contains(key) ? before[key] : json();
            if (old != value)
                changes[key] = { { "from", old }, { "to", value } };
        }
        return changes;
    }

    long long queryNumber(const http::Exchange& exchange, const std::string& name, long long fallback)
    {
        const std::string text = exchange.query(name);
        if (text.empty())
            return fallback;
        if (text.size() > 12 || text.find_first_not_of("0123456789") != std::string::npos)
            throw RequestError(ResultCode::InvalidField,
                "query parameter '" + name + "' must be a non-negative integer of at most 12 digits");
        return std::stoll(text);
    }

} // namespace

AdminGateway::AdminGateway(requests::Environment& env, fleet::ConfigStore& store, const fleet::ConfigCache& config,
    const profiles::ProfileRegistry& profiles)
    : env_(env)
    , store_(store)
    , config_(config)
    , profiles_(profiles)
{
}

void AdminGateway::start()
{
    server_ = std::make_unique<http::Server>(
        env_.loop, env_.settings.adminAddress, env_.settings.limits, http::ServerTimeouts {},
        [this](const http::Exchange::Ptr& exchange) { onRequest(exchange); },
        [](const http::Exchange::Ptr& exchange, ResultCode code, const std::string& context) {
            requests::refuse(*exchange, { code, context, std::nullopt, 0, false }, "");
        });
    server_->shareInputMemory(env_.forwarding.inputMemory);
    server_->setCapacity(auxiliaryCapacity(descriptorLimit()));
}

// ---- private ----

void AdminGateway::onRequest(const http::Exchange::Ptr& exchange)
{
    try {
        route(exchange, authenticate(*exchange));
    } catch (const errors::Error& e) {
        env_.log.warn("admin-refused", { { "path", exchange->path() }, { "code", static_cast<int>(e.code()) } });
        requests::refuse(*exchange, { e.code(), e.what(), std::nullopt, 0, false }, "");
    } catch (const std::exception& e) {
        env_.log.error("internal-fault", { { "path", exchange->path() }, { "what", e.what() } });
        requests::refuse(*exchange, { ResultCode::Internal, "", std::nullopt, 0, false }, "");
    }
}

void AdminGateway::route(const http::Exchange::Ptr& exchange, const std::string& operatorName)
{
    const std::string& method = exchange->head().getMethod();
    if (method == "GET")
        onGet(exchange);
    else if (method == "POST")
        onPost(exchange, operatorName);
    else
        throw RequestError(ResultCode::MethodNotAllowed, method);
}

void AdminGateway::onGet(const http::Exchange::Ptr& exchange)
{
    const std::string& path = exchange->path();
    if (path == "/admin/status")
        reply(exchange, status());
    else if (path == "/admin/profiles")
        reply(exchange, profileList());
    else if (path == "/admin/quarantine")
        reply(exchange, bans());
    else if (path == "/admin/audit")
        sendAudit(exchange);
    else if (path == "/admin/explain")
        reply(exchange, explain(*exchange));
    else
        throw RequestError(ResultCode::UnknownPath, path);
}

void AdminGateway::onPost(const http::Exchange::Ptr& exchange, const std::string& operatorName)
{
    const json body = parseBody(exchange->body());
    fleet::Change change;
    change.operatorName = operatorName;
    change.changeId = requiredText(body, "changeId");
    if (change.changeId.size() > MAX_CHANGE_ID_BYTES)
        throw RequestError(ResultCode::InvalidField, "/changeId exceeds 64 bytes");
    if (body.contains("expectedVersion")) {
        if (!body["expectedVersion"].is_number_unsigned())
            throw RequestError(ResultCode::InvalidField, "/expectedVersion must be a non-negative integer");
        change.expectedVersion = body["expectedVersion"].get<std::uint64_t>();
    }
    const std::string& path = exchange->path();
    if (path == "/admin/profiles")
        publishProfile(exchange, change, body);
    else if (path == "/admin/upstreams")
        changeUpstream(exchange, change, body);
    else if (path == "/admin/quarantine")
        liftBan(exchange, change, body);
    else if (path == "/admin/stops")
        changeStop(exchange, change, body);
    else
        throw RequestError(ResultCode::UnknownPath, path);
}

std::string AdminGateway::authenticate(const http::Exchange& exchange) const
{
    const std::string field = exchange.header("Authorization");
    const std::string token = field.rfind(BEARER_PREFIX, 0) == 0 ? field.substr(BEARER_PREFIX.size()) : "";
    const std::string hash = observe::sha256Hex(token);
    std::string name;
    for (const auto& candidate : env_.settings.operators) {
        if (observe::equalConstantTime(hash, candidate.tokenHash))
            name = candidate.name;
    }
    if (token.empty() || name.empty())
        throw RequestError(ResultCode::Unauthorised, exchange.path());
    return name;
}

json AdminGateway::status() const
{
    const loop::TimeMs now = env_.loop.now();
    json daemons = json::array();
    daemons.push_back({ { "vm", env_.settings.self.id }, { "up", true }, { "ready", env_.fleet.isReady() },
        { "leaving", env_.fleet.isLeaving() }, { "self", true } });
    for (const auto* peer : env_.fleet.links().peers())
        daemons.push_back(
            { { "vm", peer->vm.id }, { "up", peer->isUp }, { "ready", peer->isReady }, { "leaving", peer->isLeaving },
                { "heardMsAgo", peer->lastReceivedAt == 0 ? -1 : now - peer->lastReceivedAt } });
    json upstreams = json::array();
    for (const auto* upstream : env_.directory.all()) {
        const auto* entry = env_.view.find(upstream->key);
        upstreams.push_back({ { "id", upstream->id },
            { "kind", upstream->kind == upstreams::Kind::Engine ? "engine" : "service" }, { "group", upstream->group },
            { "takesWork", upstream->acceptsRequests() }, { "retired", upstream->unavailability.retired },
            { "leaving", upstream->unavailability.leaving }, { "down", upstream->unavailability.down },
            { "home", env_.fleet.isOwner(upstream->key) }, { "load", entry ? entry->load : 0 },
            { "loadMsAgo", entry && entry->loadUpdatedAt != 0 ? now - entry->loadUpdatedAt : -1 } });
    }
    return { { "vm", env_.settings.self.id }, { "openRequests", env_.openCounts.total() },
        { "configReadMsAgo", store_.lastReadAt() == 0 ? -1 : now - store_.lastReadAt() },
        { "tableReachable", store_.isReachable() }, { "daemons", daemons }, { "upstreams", upstreams } };
}

json AdminGateway::profileList() const
{
    json list = json::array();
    for (const auto& profile : profiles_.all()) {
        json row = profiles::toJson(profile);
        row["version"] = profile.version;
        list.push_back(row);
    }
    return { { "profiles", list } };
}

json AdminGateway::bans() const
{
    json list = json::array();
    for (const auto& verdict : env_.quarantine.verdicts()) {
        if (verdict.isBanned)
            list.push_back(admission::toJson(verdict));
    }
    return { { "bans", list } };
}

json AdminGateway::explain(const http::Exchange& exchange) const
{
    const std::string request = exchange.query("request");
    const std::string chat = exchange.query("chat");
    json found = request.empty() ? env_.explanations.findByChat(chat) : env_.explanations.findByRequest(request);
    if (found.empty())
        throw RequestError(ResultCode::UnknownExplanation, request.empty() ? chat : request);
    return found;
}

void AdminGateway::sendAudit(const http::Exchange::Ptr& exchange)
{
    const auto after = static_cast<std::uint64_t>(queryNumber(*exchange, "after", 0));
    const auto limit
        = static_cast<int>(std::min<long long>(queryNumber(*exchange, "limit", DEFAULT_AUDIT_ROWS), MAX_AUDIT_ROWS));
    store_.readAudit(after, limit, [exchange](const auto& rows) {
        if (!rows) {
            requests::refuse(*exchange, { ResultCode::StoreUnavailable, "", std::nullopt, 1, false }, "");
            return;
        }
        json lines = json::array();
        for (const auto& row : *rows) {
            json line = row.value;
            line["number"] = std::stoull(row.key.substr(row.key.find('/') + 1));
            lines.push_back(line);
        }
        reply(exchange, { { "audit", lines } });
    });
}

void AdminGateway::publishProfile(const http::Exchange::Ptr& exchange, fleet::Change change, const json& body)
{
    if (!body.contains("profile"))
        throw RequestError(ResultCode::InvalidField, "/profile is required");
    std::vector<documents::Fault> faults;
    const profiles::Profile profile = profiles::parseProfile(body["profile"], faults);
    if (!faults.empty()) {
        std::string lines;
        for (const auto& fault : faults)
            lines += (lines.empty() ? "" : "\n") + documents::toString(fault);
        throw RequestError(ResultCode::ProfileInvalid, lines);
    }
    const auto* current = profiles_.find(profile.name);
    if (body.value("dryRun", false)) {
        const json before = current ? profiles::toJson(*current) : json();
        reply(exchange,
            { { "dryRun", true }, { "fromVersion", current ? current->version : 0 },
                { "changes", difference(before, profiles::toJson(profile)) } });
        return;
    }
    change.action = "profile publish";
    change.kind = fleet::PROFILE_KIND;
    change.id = profile.name;
    change.value = profiles::toJson(profile);
    submit(exchange, change);
}

void AdminGateway::changeUpstream(const http::Exchange::Ptr& exchange, fleet::Change change, const json& body)
{
    change.id = requiredText(body, "id");
    const std::string action = requiredText(body, "action");
    if (action != "retire" && action != "restore")
        throw RequestError(ResultCode::InvalidField, "/action must be \"retire\" or \"restore\"");
    if (!env_.directory.findById(change.id))
        throw RequestError(ResultCode::UnknownUpstream, change.id);
    change.action = "upstream " + action;
    change.kind = fleet::UPSTREAM_KIND;
    change.value = { { "retired", action == "retire" } };
    submit(exchange, change);
}

void AdminGateway::changeStop(const http::Exchange::Ptr& exchange, fleet::Change change, const json& body)
{
    change.id = requiredText(body, "id");
    const std::string action = requiredText(body, "action");
    if (action != "plan" && action != "cancel")
        throw RequestError(ResultCode::InvalidField, "/action must be \"plan\" or \"cancel\"");
    const auto& vms = env_.settings.entryVms;
    if (std::none_of(vms.begin(), vms.end(), [&](const auto& vm) { return vm.id == change.id; }))
        throw RequestError(ResultCode::InvalidField, "/id must be the id of an entry VM");
    change.action = "stop " + action;
    change.kind = fleet::STOP_KIND;
    change.value = { { "planned", action == "plan" } };
    submit(exchange, change);
}

void AdminGateway::liftBan(const http::Exchange::Ptr& exchange, fleet::Change change, const json& body)
{
    change.id = requiredText(body, "id");
    const auto fingerprint = admission::parseFingerprint(change.id);
    if (!fingerprint)
        throw RequestError(ResultCode::InvalidField, "/id must be 16 hexadecimal digits");
    const auto* ban = env_.quarantine.find(*fingerprint);
    if (!ban || !ban->isBanned)
        throw RequestError(ResultCode::UnknownBan, change.id);
    change.action = "quarantine lift";
    change.kind = fleet::QUARANTINE_KIND;
    change.value = admission::toJson(admission::Quarantine::withLift(*ban, change.operatorName));
    submit(exchange, change);
}

void AdminGateway::submit(const http::Exchange::Ptr& exchange, const fleet::Change& change)
{
    store_.submit(change, [this, exchange, change](const fleet::ChangeResult& result) {
        env_.log.info("change",
            { { "operator", change.operatorName }, { "action", change.action }, { "id", change.id },
                { "version", result.version }, { "code", static_cast<int>(result.code) },
                { "changeId", change.changeId } });
        if (result.code != ResultCode::Ok) {
            rejectChange(exchange, result);
            return;
        }
        if (const auto* item = config_.find(change.kind, change.id))
            env_.fleet.announceConfig(*item);
        reply(exchange,
            { { "accepted", true }, { "id", change.id }, { "version", result.version }, { "repeated", result.isRepeat },
                { "changeId", change.changeId } });
    });
}

void AdminGateway::rejectChange(const http::Exchange::Ptr& exchange, const fleet::ChangeResult& result)
{
    std::string context;
    if (result.code == ResultCode::VersionConflict)
        context = "version " + std::to_string(result.version) + " by "
            + (result.winner.empty() ? "nobody" : result.winner) + " is in force";
    requests::refuse(*exchange, { result.code, context, std::nullopt, 0, false }, "");
}

void AdminGateway::reply(const http::Exchange::Ptr& exchange, const json& body)
{
    // Chat ids are taken from headers and may contain invalid UTF-8, which is replaced.
    exchange->reply(
        200, { { "Content-Type", "application/json" } }, body.dump(-1, ' ', false, json::error_handler_t::replace));
}

} // namespace goldcrestcleat::gateway
