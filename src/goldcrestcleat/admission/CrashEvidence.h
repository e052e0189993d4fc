#pragma once

#include "goldcrestcleat/admission/Quarantine.h"
#include "goldcrestcleat/routing/Keys.h"

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace goldcrestcleat::admission {

/// Tells crashes of servers from answers that were merely lost.
///
/// A request whose answer broke off is a suspect only if its server is found to have ended soon after: no connection
/// to it can be opened, or it reports a new start.
class CrashEvidence {
public:
    /// Time within which the end of a server explains a broken answer; the deployments allow three seconds until a
    /// crashing request has to be known.
    static constexpr loop::TimeMs WINDOW_MS = 2'500;

    /// Remembers a request whose answer from a server broke off.
    void onBroken(routing::NodeKey server, Fingerprint fingerprint, std::uint64_t crashId, loop::TimeMs now)
    {
        auto& broken = broken_[server];
        dropOld(broken, now);
        broken.push_back({ fingerprint, crashId, now });
    }

    /// Returns the suspects of a server that is found to have ended.
    std::vector<Suspicion> onEnded(routing::NodeKey server, loop::TimeMs now)
    {
        std::vector<Suspicion> suspicions;
        const auto found = broken_.find(server);
        if (found == broken_.end())
            return suspicions;
        dropOld(found->second, now);
        for (const auto& broken : found->second)
            suspicions.push_back({ broken.fingerprint, broken.crashId, false });
        broken_.erase(found);
        return suspicions;
    }

private:
    struct Broken {
        Fingerprint fingerprint = 0;
        std::uint64_t crashId = 0;
        loop::TimeMs at = 0;
    };

    static void dropOld(std::vector<Broken>& broken, loop::TimeMs now)
    {
        const auto isOld = [now](const Broken& b) { return now - b.at > WINDOW_MS; };
        broken.erase(std::remove_if(broken.begin(), broken.end(), isOld), broken.end());
    }

    std::unordered_map<routing::NodeKey, std::vector<Broken>> broken_;
};

} // namespace goldcrestcleat::admission
