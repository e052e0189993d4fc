#pragma once

#include "goldcrestcleat/observe/Log.h"
#include "goldcrestcleat/store/RowStore.h"
#include "goldcrestcleat/upstreams/ServerBook.h"

#include <functional>
#include <string>
#include <vector>

namespace goldcrestcleat::upstreams {

/// Takes the rows in which servers register over into the book of servers.
class ServerFeed {
public:
    struct Hooks {
        /// Reads a row; throws Error with ServerEntryInvalid.
        std::function<ServerEntry(const std::string& id, const std::string& text)> parse;
        std::function<VanishRule()> vanishRule; ///< for entries that vanish now
        std::function<void(routing::NodeKey server)> onEnded; ///< a known server has started anew
    };

    /// The loop, the log and the book must outlive the feed.
    ServerFeed(const loop::EventLoop& loop, const observe::Log& log, ServerBook& servers, Hooks hooks);

    /// Takes over rows that changed, each once; `version` is that of the table, for the log.
    void onRows(const std::vector<store::VersionedRow>& rows, std::uint64_t version);

private:
    void apply(const store::VersionedRow& row);
    void applyVanished(const std::vector<std::string>& ids, std::uint64_t version);

    const loop::EventLoop& loop_;
    const observe::Log& log_;
    ServerBook& servers_;
    const Hooks hooks_;
};

} // namespace goldcrestcleat::upstreams
