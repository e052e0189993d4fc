#include "goldcrestcleat/profiles/Profile.h"

namespace goldcrestcleat::profiles {

namespace {

    constexpr loop::TimeMs MAX_WAIT_MS = 3'600'000;
    constexpr double MAX_COST = 1e6;

} // namespace

bool Profile::operator==(const Profile& other) const
{
    return version == other.version && toJson(*this) == toJson(other);
}

Profile readProfile(documents::ObjectReader& reader)
{
    const Profile defaults;
    Profile p;
    p.name = reader.identifier("name");
    p.model = reader.text("model", "");
    p.priority = static_cast<int>(reader.integer("priority", 0, 3, defaults.priority));
    p.deadlineMs = reader.integer("deadlineMs", 1, MAX_WAIT_MS, defaults.deadlineMs);
    p.firstTokenMs = reader.integer("firstTokenMs", 1, MAX_WAIT_MS, defaults.firstTokenMs);
    p.stallMs = reader.integer("stallMs", 1, MAX_WAIT_MS, defaults.stallMs);
    p.warmWaitMs = reader.integer("warmWaitMs", 0, MAX_WAIT_MS, defaults.warmWaitMs);
    p.cost = reader.number("cost", 0.01, MAX_COST, defaults.cost);
    p.retries = static_cast<int>(reader.integer("retries", 0, 10, defaults.retries));
    p.maxOpenPerWorkspace
        = static_cast<int>(reader.integer("maxOpenPerWorkspace", 1, 100'000, defaults.maxOpenPerWorkspace));
    p.mustNotRepeat = reader.boolean("mustNotRepeat", defaults.mustNotRepeat);
    if (p.warmWaitMs > p.deadlineMs)
        reader.fault(errors::ResultCode::OutOfRange, "warmWaitMs", "must not exceed deadlineMs");
    return p;
}

Profile parseProfile(const nlohmann::json& document, std::vector<documents::Fault>& faults)
{
    documents::ObjectReader reader(document, "", faults);
    Profile profile = readProfile(reader);
    reader.finish();
    return profile;
}

nlohmann::json toJson(const Profile& p)
{
    return {
        { "name", p.name },
        { "model", p.model },
        { "priority", p.priority },
        { "deadlineMs", p.deadlineMs },
        { "firstTokenMs", p.firstTokenMs },
        { "stallMs", p.stallMs },
        { "warmWaitMs", p.warmWaitMs },
        { "cost", p.cost },
        { "retries", p.retries },
        { "maxOpenPerWorkspace", p.maxOpenPerWorkspace },
        { "mustNotRepeat", p.mustNotRepeat },
    };
}

} // namespace goldcrestcleat::profiles
