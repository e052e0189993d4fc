#include "goldcrestcleat/settings/Settings.h"

#include "goldcrestcleat/documents/LoadDocument.h"

#include <algorithm>

namespace goldcrestcleat::settings {

using documents::Fault;
using documents::ObjectReader;
using errors::ResultCode;
using nlohmann::json;

namespace {

    constexpr std::int64_t MAX_MS = 3'600'000;
    constexpr std::int64_t MAX_BYTES = std::int64_t { 1 } << 30;
    constexpr std::size_t MIN_SECRET_BYTES = 16;
    constexpr std::size_t SHA256_HEX_DIGITS = 64;

    std::string readHash(ObjectReader& reader, const std::string& key)
    {
        std::string hash = reader.text(key);
        const bool isHex = hash.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (!hash.empty() && (!isHex || hash.size() != SHA256_HEX_DIGITS))
            reader.fault(ResultCode::OutOfRange, key, "must be a SHA-256 hash of 64 lower-case hexadecimal digits");
        return hash;
    }

    EntryVm readEntryVm(ObjectReader& reader)
    {
        EntryVm vm;
        vm.id = reader.identifier("id");
        vm.dataCentre = reader.identifier("dataCentre");
        vm.caller = reader.address("caller");
        vm.peer = reader.address("peer");
        return vm;
    }

    Engine readEngine(ObjectReader& reader)
    {
        Engine engine;
        engine.id = reader.identifier("id");
        engine.address = reader.address("address");
        engine.dataCentre = reader.identifier("dataCentre");
        engine.model = reader.identifier("model");
        engine.maxRunning = static_cast<int>(reader.integer("maxRunning", 1, 10'000, engine.maxRunning));
        return engine;
    }

    Service readService(ObjectReader& reader)
    {
        Service service;
        service.id = reader.identifier("id");
        service.name = reader.identifier("name");
        service.address = reader.address("address");
        service.dataCentre = reader.identifier("dataCentre");
        return service;
    }

    Workspace readWorkspace(ObjectReader& reader)
    {
        Workspace workspace;
        workspace.id = reader.identifier("id");
        workspace.keyHash = readHash(reader, "keyHash");
        workspace.weight = reader.number("weight", 0.01, 1000, workspace.weight);
        workspace.maxOpen = static_cast<int>(reader.integer("maxOpen", 1, 100'000, workspace.maxOpen));
        return workspace;
    }

    Operator readOperator(ObjectReader& reader)
    {
        Operator op;
        op.name = reader.identifier("name");
        op.tokenHash = readHash(reader, "tokenHash");
        return op;
    }

    void readRouting(ObjectReader& reader, Routing& r)
    {
        r.loadBound = reader.number("loadBound", 1.0, 10.0, r.loadBound);
        r.admitFactor = reader.number("admitFactor", 1.0, 10.0, r.admitFactor);
        r.meanWindowMs = reader.integer("meanWindowMs", 0, 60'000, r.meanWindowMs);
        const auto bytes = static_cast<std::int64_t>(r.chatMemoryBytes);
        r.chatMemoryBytes = static_cast<std::size_t>(reader.integer("chatMemoryBytes", 0, MAX_BYTES, bytes));
        r.reuseWeight = reader.number("reuseWeight", 0.0, 1.0, r.reuseWeight);
        if (r.admitFactor > r.loadBound)
            reader.fault(ResultCode::OutOfRange, "admitFactor", "must not exceed loadBound");
    }

    void readTimeouts(ObjectReader& reader, Timeouts& t)
    {
        t.requestReadMs = reader.integer("requestReadMs", 10, MAX_MS, t.requestReadMs);
        t.callerIdleMs = reader.integer("callerIdleMs", 10, MAX_MS, t.callerIdleMs);
        t.callerStallMs = reader.integer("callerStallMs", 10, MAX_MS, t.callerStallMs);
        t.serviceMs = reader.integer("serviceMs", 10, MAX_MS, t.serviceMs);
        t.platformMs = reader.integer("platformMs", 10, MAX_MS, t.platformMs);
        t.entryTtlMs = reader.integer("entryTtlMs", 0, MAX_MS, t.entryTtlMs);
        t.peerSilenceMs = reader.integer("peerSilenceMs", 100, MAX_MS, t.peerSilenceMs);
    }

    void readLimits(ObjectReader& reader, Settings& s)
    {
        const auto size = [&](const char* key, std::size_t fallback) {
            return static_cast<std::size_t>(reader.integer(key, 256, MAX_BYTES, static_cast<std::int64_t>(fallback)));
        };
        s.limits.headBytes = size("headBytes", s.limits.headBytes);
        s.limits.bodyBytes = size("bodyBytes", s.limits.bodyBytes);
        s.answerBytes = size("answerBytes", s.answerBytes);
    }

    template <typename Item, typename Read>
    void readUnique(ObjectReader& reader, const std::string& key, const std::string& idKey, std::vector<Item>& items,
        Read read, std::string Item::*id)
    {
        std::set<std::string> seen;
        reader.list(key, [&](ObjectReader& element) {
            items.push_back(read(element));
            element.unique(idKey, items.back().*id, seen);
        });
    }

    void readSelf(ObjectReader& reader, Settings& s)
    {
        const std::string id = reader.identifier("vm");
        const auto self
            = std::find_if(s.entryVms.begin(), s.entryVms.end(), [&](const EntryVm& vm) { return vm.id == id; });
        if (self != s.entryVms.end())
            s.self = *self;
        else if (!id.empty())
            reader.fault(ResultCode::OutOfRange, "vm", "'" + id + "' is not listed in entryVms");
    }

} // namespace

Settings parseSettings(const json& document, std::vector<Fault>& faults)
{
    Settings s;
    ObjectReader reader(document, "", faults);
    readUnique(reader, "entryVms", "id", s.entryVms, readEntryVm, &EntryVm::id);
    readSelf(reader, s);
    s.adminAddress = reader.address("adminAddress");
    s.metricsAddress = reader.address("metricsAddress");
    s.platformAddress = reader.address("platformAddress");
    s.fleetSecret = reader.text("fleetSecret");
    if (!s.fleetSecret.empty() && s.fleetSecret.size() < MIN_SECRET_BYTES)
        reader.fault(ResultCode::OutOfRange, "fleetSecret", "must be at least 16 bytes long");
    readUnique(reader, "engines", "id", s.engines, readEngine, &Engine::id);
    readUnique(reader, "services", "id", s.services, readService, &Service::id);
    readUnique(reader, "workspaces", "id", s.workspaces, readWorkspace, &Workspace::id);
    readUnique(reader, "operators", "name", s.operators, readOperator, &Operator::name);
    readUnique(reader, "profiles", "name", s.profiles, profiles::readProfile, &profiles::Profile::name);
    reader.object("routing", [&](ObjectReader& member) { readRouting(member, s.routing); });
    reader.object("timeouts", [&](ObjectReader& member) { readTimeouts(member, s.timeouts); });
    reader.object("limits", [&](ObjectReader& member) { readLimits(member, s); });
    s.logLevel = reader.text("logLevel", s.logLevel);
    static const std::set<std::string> levels = { "debug", "info", "warn", "error" };
    if (levels.count(s.logLevel) == 0)
        reader.fault(ResultCode::OutOfRange, "logLevel", "must be debug, info, warn or error");
    reader.finish();
    return s;
}

Settings loadSettings(const std::string& path) { return documents::loadDocument<Settings>(path, parseSettings); }

} // namespace goldcrestcleat::settings
