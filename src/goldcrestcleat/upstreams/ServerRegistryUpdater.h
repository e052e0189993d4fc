#pragma once

#include "goldcrestcleat/observe/Log.h"
#include "goldcrestcleat/store/RowStore.h"
#include "goldcrestcleat/upstreams/ServerRegistry.h"

#include <functional>
#include <string>
#include <vector>

namespace goldcrestcleat::upstreams {

/// Applies changes of the table in which servers register to the registry.
class ServerRegistryUpdater {
public:
    struct Hooks {
        /// Parses a row. Throws Error with ServerEntryInvalid.
        std::function<ServerEntry(const std::string& id, const std::string& text)> parse;
        std::function<bool()> mayHaveExpired; ///< returns whether missing entries may have expired and may return
        std::function<bool()> mayBeRewritten; ///< returns whether entries that a restored store lacks may return
        std::function<loop::TimeMs()> storeUnansweredMs; ///< time without an answer of the store to any daemon
        std::function<void(routing::NodeKey server)> onRestarted; ///< a known server has been restarted
    };

    /// The loop, the log and the registry must outlive this object.
    ServerRegistryUpdater(loop::EventLoop& loop, const observe::Log& log, ServerRegistry& servers, Hooks hooks);

    /// Applies changed rows, each of which is passed only once. `version` is that of the table, for the log.
    void onRows(const std::vector<store::VersionedRow>& rows, std::uint64_t version);

private:
    void apply(const store::VersionedRow& row);
    void applyRemoved(const std::vector<std::string>& ids, std::uint64_t version, bool mayReturn);
    void scheduleSettling();
    void settleExpired();
    void scheduleRelease();
    void releaseHeld();

    loop::EventLoop& loop_;
    const observe::Log& log_;
    ServerRegistry& servers_;
    const Hooks hooks_;
    bool isSettling_ = false; // entries that may have expired are awaited
    loop::EventLoop::TimerId releaseTimer_ = 0; // of the release of held servers
};

} // namespace goldcrestcleat::upstreams
