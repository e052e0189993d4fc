#include "platform/Documents.h"

#include "goldcrestcleat/errors/ResultCode.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace goldcrestcleat;
using nlohmann::json;

namespace {

const json ENTRY = { { "service", "s" }, { "address", "10.1.2.3:80" }, { "zone", "z" }, { "version", "v1" },
    { "slots", 6 }, { "state", "ready" }, { "coldLeftMs", 1'200 }, { "seq", 4 } };

const json CONFIGURATION = { { "version", 7 },
    { "routes",
        { { { "name", "r" }, { "host", "h" }, { "prefix", "/p/" }, { "kind", "streaming" }, { "timeoutMs", 12000 },
            { "goalMs", 400 }, { "priority", 1 }, { "split", { { { "service", "a" }, { "weight", 90 } } } },
            { "attempts", 2 }, { "noAuth", false }, { "sticky", true }, { "resumable", true }, { "gapTargetMs", 300 },
            { "allowedRegions", { "up", "down" } } } } },
    { "services",
        { { { "name", "a" }, { "healthPath", "/health" }, { "maxConns", 5 }, { "coldS", 2.5 },
            { "coldPerS", 11.0 } } } },
    { "tenants", { { { "name", "t" }, { "apiKeys", { "k" } } } } },
    { "limits",
        { { "headerBytes", 100 }, { "bodyBytes", 200 }, { "headerTimeoutMs", 300 }, { "idleTimeoutMs", 400 } } } };

errors::ResultCode codeOf(const std::function<void()>& parse)
{
    try {
        parse();
    } catch (const errors::Error& e) {
        return e.code();
    }
    return errors::ResultCode::Ok;
}

} // namespace

Test(platform_documents, all_members_of_a_configuration_are_read)
{
    const auto c = platform::parseConfiguration(CONFIGURATION.dump());
    cr_assert_eq(c.version, 7);
    const auto& r = c.routes.at(0);
    cr_assert(r.kind == routes::CallKind::Stream && r.isResumable && r.needsKey && r.hasPrompt);
    cr_assert(r.timeoutMs == 12000 && r.goalMs == 400 && r.maxPauseMs == 300 && r.attempts == 2 && r.priority == 1);
    cr_assert(r.targets.at(0).service == "a" && r.targets.at(0).weight == 90);
    cr_assert(c.workspaces.at(0).name == "t" && c.workspaces.at(0).keys.at(0) == "k");
    cr_assert((r.regions == std::vector<std::string> { "up", "down" }));
    cr_assert(c.workspaces.at(0).regions.empty());
    const auto& service = c.services.at(0);
    cr_assert(service.name == "a" && service.coldMs == 2'500 && service.coldRequestsPerS == 11);
    cr_assert((c.limits == routes::CallerLimits { 100, 200, 300, 400 }));
}

Test(platform_documents, all_members_of_a_server_entry_are_read)
{
    json document = ENTRY;
    document["state"] = "draining";
    document["models"] = json::array();
    document["born"] = 1'700'000'000'123;
    const auto e = platform::parseServer("i-1", document.dump());
    cr_assert(e.id == "i-1" && e.service == "s" && e.address == "10.1.2.3:80" && e.dataCentre == "z");
    cr_assert_eq(e.coldLeftMs, 1'200);
    cr_assert(e.slots == 6 && e.isLeaving && e.isEngine && e.startedAtMs == 1'700'000'000'123);
}

Test(platform_documents, an_invalid_server_entry_is_rejected)
{
    const std::vector<std::pair<const char*, json>> changes = {
        { "state", "sleeping" },
        { "state", 3 },
        { "service", nullptr },
        { "address", "nowhere" },
        { "address", "10.1.2.3:99999" },
        { "address", json::array() },
        { "zone", 4 },
        { "slots", "six" },
        { "slots", 0 },
        { "slots", -3 },
        { "slots", 1.5 },
        { "slots", 100'001 },
        { "slots", 4'294'967'297 },
        { "slots", 1e300 },
        { "slots", 18'446'744'073'709'551'615U },
        { "address", "10.1.2.3:0" },
        { "address", "10.1.2.3:65536" },
        { "address", "10.1.2.3:" },
        { "address", "10.1.2.3" },
        { "address", ":80" },
        { "address", "" },
        { "address", "host.example:80" },
        { "address", "[::1]:80" },
        { "address", "::1:80" },
        { "address", "10.1.2.3: 80" },
        { "address", "10.1.2.3:+80" },
        { "address", std::string("10.1.2.3:80\0", 12) },
        { "born", 1.5 },
        { "born", "early" },
    };
    for (const auto& [member, value] : changes) {
        json document = ENTRY;
        document[member] = value;
        const auto code = codeOf([&] { platform::parseServer("i", document.dump()); });
        cr_assert_eq(code, errors::ResultCode::ServerEntryInvalid, "%s = %s", member, value.dump().c_str());
    }
    for (const auto& [member, value] : ENTRY.items()) {
        if (member == "version" || member == "seq" || member == "coldLeftMs")
            continue;
        json document = ENTRY;
        document.erase(member);
        const auto code = codeOf([&] { platform::parseServer("i", document.dump()); });
        cr_assert_eq(code, errors::ResultCode::ServerEntryInvalid, "without %s", member.c_str());
    }
    for (const char* text : { "", "{", "[]", "null", "7", "\xff\xfe" })
        cr_assert_eq(codeOf([&] { platform::parseServer("i", text); }), errors::ResultCode::ServerEntryInvalid);
}

Test(platform_documents, an_incomplete_configuration_is_rejected_with_its_result_code)
{
    for (const char* member : { "version", "routes" }) {
        json document = CONFIGURATION;
        document.erase(member);
        const auto code = codeOf([&] { platform::parseConfiguration(document.dump()); });
        cr_assert_eq(code, errors::ResultCode::ConfigurationInvalid, "without %s", member);
    }
    for (const char* member : { "name", "host", "prefix", "kind", "timeoutMs" }) {
        json document = CONFIGURATION;
        document["routes"][0].erase(member);
        const auto code = codeOf([&] { platform::parseConfiguration(document.dump()); });
        cr_assert_eq(code, errors::ResultCode::ConfigurationInvalid, "route without %s", member);
    }
}

Test(platform_documents, random_bytes_are_rejected_with_a_result_code)
{
    cr_assert(rc::check([](const std::string& bytes) {
        RC_ASSERT(codeOf([&] { platform::parseConfiguration(bytes); }) == errors::ResultCode::ConfigurationInvalid);
        RC_ASSERT(codeOf([&] { platform::parseServer("i", bytes); }) == errors::ResultCode::ServerEntryInvalid);
    }));
}

/// Replaces one value anywhere in a valid document, which must then be parsed or rejected with its result code.
Test(platform_documents, a_mutated_document_is_read_or_rejected_with_its_result_code)
{
    cr_assert(rc::check([](std::uint32_t place, std::uint8_t kind) {
        static const std::vector<json> values
            = { nullptr, -1, 1e300, "", "x", true, json::array(), json::object(), json::array({ 1 }) };
        const json flat = CONFIGURATION.flatten();
        auto at = flat.begin();
        std::advance(at, place % flat.size());
        json document = CONFIGURATION;
        document[json::json_pointer(at.key())] = values[kind % values.size()];
        const auto code = codeOf([&] { platform::parseConfiguration(document.dump()); });
        RC_ASSERT(code == errors::ResultCode::Ok || code == errors::ResultCode::ConfigurationInvalid);
    }));
}

/// Found by fuzz_test: an empty service name was accepted.
Test(platform_documents, an_entry_with_an_empty_service_name_is_rejected)
{
    json entry = ENTRY;
    entry["service"] = "";
    cr_assert(codeOf([&] { platform::parseServer("i", entry.dump()); }) == errors::ResultCode::ServerEntryInvalid);
}

/// A server that registers itself lists its members at the top level; another writer may nest anything anywhere.
Test(platform_documents, an_entry_of_any_depth_or_size_is_rejected_or_read)
{
    const std::string deepArray = std::string(10'000, '[') + std::string(10'000, ']');
    std::string deepObject;
    for (int i = 0; i < 10'000; ++i)
        deepObject += R"({"a":)";
    deepObject += "1" + std::string(10'000, '}');
    for (const auto& nested : { deepArray, deepObject, std::string(10'000, '[') }) {
        std::string text = ENTRY.dump();
        text.insert(1, "\"odd\":" + nested + ",");
        cr_assert_eq(codeOf([&] { platform::parseServer("i", text); }), errors::ResultCode::ServerEntryInvalid);
        cr_assert_eq(codeOf([&] { platform::parseServer("i", nested); }), errors::ResultCode::ServerEntryInvalid);
    }
    for (const char* number :
        { "1e400", "123456789012345678901234567890", "-9223372036854775809", "0x10", "01", "NaN" }) {
        std::string text = ENTRY.dump();
        text.insert(1, std::string("\"odd\":") + number + ",");
        const auto code = codeOf([&] { platform::parseServer("i", text); });
        cr_assert(code == errors::ResultCode::Ok || code == errors::ResultCode::ServerEntryInvalid, "%s", number);
    }
    json large = ENTRY;
    large["odd"] = std::string(60'000, 'x');
    cr_assert_eq(codeOf([&] { platform::parseServer("i", large.dump()); }), errors::ResultCode::Ok);
}
