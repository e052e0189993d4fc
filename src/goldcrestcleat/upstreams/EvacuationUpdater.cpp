#include "goldcrestcleat/upstreams/EvacuationUpdater.h"

namespace goldcrestcleat::upstreams {

namespace {

    constexpr loop::TimeMs REWRITE_MS = 5'000; // as the store's writers have after it was restored, with a margin

} // namespace

EvacuationUpdater::EvacuationUpdater(
    loop::EventLoop& loop, const observe::Log& log, ServerRegistry& servers, std::string keyPrefix)
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
    const auto pending = pendingEnds_.find(dataCentre);
    if (pending != pendingEnds_.end()) {
        loop_.cancel(pending->second);
        pendingEnds_.erase(pending);
    }
    if (row.isRemoved && row.isRestored) {
        pendingEnds_[dataCentre] = loop_.after(REWRITE_MS, [this, dataCentre, version = row.version] {
            pendingEnds_.erase(dataCentre);
            end(dataCentre, version);
        });
    } else if (row.isRemoved) {
        end(dataCentre, row.version);
    } else if (servers_.beginEvacuation(dataCentre)) {
        log_.info("evacuation-begun", { { "dataCentre", dataCentre }, { "row", row.version } });
    }
}

void EvacuationUpdater::end(const std::string& dataCentre, std::uint64_t version)
{
    if (servers_.endEvacuation(dataCentre, loop_.now()))
        log_.info("evacuation-ended", { { "dataCentre", dataCentre }, { "row", version } });
}

} // namespace goldcrestcleat::upstreams
