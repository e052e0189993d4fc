#include "goldcrestcleat/settings/Settings.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <fstream>

using namespace goldcrestcleat;
using errors::ResultCode;
using nlohmann::json;

namespace {

json validDocument()
{
    std::ifstream file(SOURCE_FOLDER "/docs/settings-example.json");
    return json::parse(file, nullptr, true, true);
}

std::vector<documents::Fault> faultsOf(const json& document)
{
    std::vector<documents::Fault> faults;
    settings::parseSettings(document, faults);
    return faults;
}

struct Case {
    const char* pointer;
    json value; ///< null removes the member
    ResultCode code;
    const char* faultAt;
};

} // namespace

Test(settings, the_documented_example_has_no_fault)
{
    const auto faults = faultsOf(validDocument());
    cr_assert(faults.empty(), "%s", faults.empty() ? "" : documents::toString(faults[0]).c_str());
}

Test(settings, each_kind_of_fault_has_its_number_and_pointer)
{
    const std::vector<Case> cases = {
        { "/unheardOf", 1, ResultCode::UnknownSetting, "/unheardOf" },
        { "/routing/spread", 1, ResultCode::UnknownSetting, "/routing/spread" },
        { "/vm", nullptr, ResultCode::MissingSetting, "/vm" },
        { "/vm", "nobody", ResultCode::OutOfRange, "/vm" },
        { "/engines", "none", ResultCode::WrongType, "/engines" },
        { "/engines/0", 5, ResultCode::WrongType, "/engines/0" },
        { "/engines/0/address", "engine.example:80", ResultCode::BadAddress, "/engines/0/address" },
        { "/engines/0/address", "10.0.0.1:99999", ResultCode::BadAddress, "/engines/0/address" },
        { "/engines/0/maxRunning", 0, ResultCode::OutOfRange, "/engines/0/maxRunning" },
        { "/engines/0/maxRunning", 18446744073709551615ULL, ResultCode::OutOfRange, "/engines/0/maxRunning" },
        { "/engines/0/maxRunning", 1.5, ResultCode::WrongType, "/engines/0/maxRunning" },
        { "/engines/0/id", "a b", ResultCode::OutOfRange, "/engines/0/id" },
        { "/engines/1/id", "engine1", ResultCode::DuplicateId, "/engines/1/id" },
        { "/workspaces/0/keyHash", "secret", ResultCode::OutOfRange, "/workspaces/0/keyHash" },
        { "/routing/loadBound", 0.5, ResultCode::OutOfRange, "/routing/loadBound" },
        { "/routing/admitFactor", 2.0, ResultCode::OutOfRange, "/routing/admitFactor" },
        { "/fleetSecret", "short", ResultCode::OutOfRange, "/fleetSecret" },
        { "/logLevel", "loud", ResultCode::OutOfRange, "/logLevel" },
        { "/profiles/0/priority", 9, ResultCode::OutOfRange, "/profiles/0/priority" },
        { "/timeouts/serviceMs", "long", ResultCode::WrongType, "/timeouts/serviceMs" },
    };
    for (const auto& c : cases) {
        json document = validDocument();
        const json::json_pointer at(c.pointer);
        if (c.value.is_null())
            document.erase(at.back());
        else
            document[at] = c.value;
        const auto faults = faultsOf(document);
        const bool found = std::any_of(
            faults.begin(), faults.end(), [&](const auto& f) { return f.code == c.code && f.pointer == c.faultAt; });
        cr_assert(found, "%s: expected %d at %s, first fault: %s", c.pointer, static_cast<int>(c.code), c.faultAt,
            faults.empty() ? "none" : documents::toString(faults[0]).c_str());
    }
}

Test(settings, all_faults_are_told_at_once)
{
    json document = validDocument();
    document["unheardOf"] = 1;
    document["engines"][0]["address"] = "nowhere";
    document["routing"]["loadBound"] = "high";
    cr_assert_eq(faultsOf(document).size(), 3);
}

Test(settings, a_file_that_is_no_json_or_missing_throws)
{
    try {
        settings::loadSettings("/nonexistent/settings.json");
        cr_assert_fail("did not throw");
    } catch (const errors::SettingsError& e) {
        cr_assert_eq(static_cast<int>(e.code()), static_cast<int>(ResultCode::SettingsUnreadable));
    }
}
