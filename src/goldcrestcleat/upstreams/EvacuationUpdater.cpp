#include "goldcrestcleat/upstreams/EvacuationUpdater.h"

namespace goldcrestcleat::upstreams {

EvacuationUpdater::EvacuationUpdater(
    const loop::EventLoop& loop, const observe::Log& log, ServerRegistry& servers, std::string keyPrefix)
    : loop_(loop)
    , log_(log)
    , servers_(servers)
    , keyPrefix_(std::move(keyPrefix))
{
}

void EvacuationUpdater::onRows(const std::vector<store::VersionedRow>& rows)
{
    for (const auto& row : rows) {
        const bool isRequest = row.key.size() > keyPrefix_.size() && row.key.rfind(keyPrefix_, 0) == 0;
        if (!keyPrefix_.empty() && isRequest)
            apply(row.key.substr(keyPrefix_.size()), row);
    }
}

// ---- private ----

void EvacuationUpdater::apply(const std::string& dataCentre, const store::VersionedRow& row)
{
    const bool isChanged
        = row.isRemoved ? servers_.endEvacuation(dataCentre, loop_.now()) : servers_.beginEvacuation(dataCentre);
    if (isChanged)
        log_.info(row.isRemoved ? "evacuation-ended" : "evacuation-begun",
            { { "dataCentre", dataCentre }, { "row", row.version } });
}

} // namespace goldcrestcleat::upstreams
