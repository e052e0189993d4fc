#include "goldcrestcleat/settings/FrontSettings.h"

#include "goldcrestcleat/documents/LoadDocument.h"

#include <algorithm>
#include <cmath>

namespace goldcrestcleat::settings {

using documents::Fault;
using documents::ObjectReader;
using nlohmann::json;

namespace {

    constexpr double MS_PER_SECOND = 1'000;
    constexpr double MAX_SECONDS = 3'600;
    constexpr int MIN_DESCRIPTORS = 128; // fewer would leave none for callers after servers and peers
    constexpr int MAX_DESCRIPTORS = 100'000'000;

    loop::TimeMs readSeconds(ObjectReader& reader, const std::string& key, loop::TimeMs fallbackMs)
    {
        const double seconds = reader.number(key, 0, MAX_SECONDS, static_cast<double>(fallbackMs) / MS_PER_SECOND);
        return std::llround(seconds * MS_PER_SECOND);
    }

    void readBounds(ObjectReader& reader, Bounds& b)
    {
        // Without effect, since servers that leave get no more requests at once; existing files contain it.
        reader.number("upstreamLeavesMs", 0, MAX_SECONDS * MS_PER_SECOND, 0);
        b.stopGraceMs = readSeconds(reader, "stopGraceS", b.stopGraceMs);
        b.retryRatio = reader.number("retryRatio", 0, 100, b.retryRatio);
        b.retryExtra = reader.number("retryExtra", 0, 1e9, b.retryExtra);
        b.retryWindowMs = readSeconds(reader, "retryWindowS", b.retryWindowMs);
        b.loadFactor = reader.number("loadFactor", 1, 1'000, b.loadFactor);
        b.coldOverage = reader.number("coldOverage", 1, 100, b.coldOverage);
        b.entryTtlMs = readSeconds(reader, "entryTtlS", b.entryTtlMs);
        // Callers cap the time to live at the deployment's maximum, so a longer one has no effect.
        b.entryTtlMs = std::min(b.entryTtlMs, readSeconds(reader, "longestEntryTtlS", b.entryTtlMs));
    }

} // namespace

std::string FrontSettings::regionOf(const std::string& dataCentre) const
{
    const auto found = regions.find(dataCentre);
    return found == regions.end() ? "" : found->second;
}

FrontSettings parseFrontSettings(const json& document, std::vector<Fault>& faults)
{
    FrontSettings s;
    ObjectReader reader(document, "", faults);
    s.self.id = reader.identifier("vm");
    s.self.dataCentre = reader.identifier("dataCentre");
    s.self.caller = reader.address("callerAddress");
    s.self.peer = reader.address("peerAddress");
    s.readinessAddress = reader.address("readinessAddress");
    s.entryAddress = reader.address("entryAddress", "");
    s.metricsAddress = reader.address("metricsAddress", "");
    s.storeAddress = reader.address("storeAddress");
    s.regions = reader.texts("regions");
    reader.object("bounds", [&](ObjectReader& member) { readBounds(member, s.bounds); });
    s.descriptors = static_cast<int>(reader.integer("descriptors", MIN_DESCRIPTORS, MAX_DESCRIPTORS, s.descriptors));
    s.logLevel = reader.text("logLevel", s.logLevel);
    reader.finish();
    return s;
}

FrontSettings loadFrontSettings(const std::string& path)
{
    return documents::loadDocument<FrontSettings>(path, parseFrontSettings);
}

} // namespace goldcrestcleat::settings
