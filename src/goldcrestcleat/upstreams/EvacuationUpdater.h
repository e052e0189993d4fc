#pragma once

#include "goldcrestcleat/observe/Log.h"
#include "goldcrestcleat/store/RowStore.h"
#include "goldcrestcleat/upstreams/ServerRegistry.h"

#include <map>
#include <string>
#include <vector>

namespace goldcrestcleat::upstreams {

/// Applies the operator's requests to evacuate data centres to the registry.
///
/// A request is a row whose key is a prefix and the name of the data centre. It holds until the row is removed. If the
/// row is merely missing in an older copy from which the store was restored, its operator has time to write it again.
class EvacuationUpdater {
public:
    /// The loop, the log and the registry must outlive this object. An empty prefix disables it.
    EvacuationUpdater(loop::EventLoop& loop, const observe::Log& log, ServerRegistry& servers, std::string keyPrefix);

    /// Applies changed rows; those with other keys are ignored.
    void onRows(const std::vector<store::VersionedRow>& rows);

private:
    void apply(const std::string& dataCentre, const store::VersionedRow& row);
    void end(const std::string& dataCentre, std::uint64_t version);

    loop::EventLoop& loop_;
    const observe::Log& log_;
    ServerRegistry& servers_;
    const std::string keyPrefix_;
    std::map<std::string, loop::EventLoop::TimerId> pendingEnds_; // of requests that are missing, by data centre
};

} // namespace goldcrestcleat::upstreams
