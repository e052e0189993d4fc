#pragma once

#include "goldcrestcleat/admission/Quarantine.h"
#include "goldcrestcleat/routing/Keys.h"

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace goldcrestcleat::admission {

/// Finds the requests that may have crashed a server, as opposed to those whose connection merely failed.
///
/// A request whose answer was interrupted becomes a suspect only if the server process is found to have ended soon
/// after: no connection to it can be opened, or it reports a new start.
class CrashAttribution {
public:
    /// Time after an interrupted answer within which the end of the server process is attributed to it. Deployments
    /// require that a crashing request is known after three seconds.
    static constexpr loop::TimeMs WINDOW_MS = 2'500;

    /// Records a request whose answer from a server was interrupted.
    void onAnswerInterrupted(routing::NodeKey server, Fingerprint fingerprint, std::uint64_t crashId, loop::TimeMs now)
    {
        auto& interrupted = interrupted_[server];
        removeExpired(interrupted, now);
        interrupted.push_back({ fingerprint, crashId, now });
    }

    /// Returns the suspects of a server whose process was found to have ended, and removes them.
    std::vector<Suspicion> onProcessEnded(routing::NodeKey server, loop::TimeMs now)
    {
        std::vector<Suspicion> suspicions;
        const auto found = interrupted_.find(server);
        if (found == interrupted_.end())
            return suspicions;
        removeExpired(found->second, now);
        for (const auto& answer : found->second)
            suspicions.push_back({ answer.fingerprint, answer.crashId, false });
        interrupted_.erase(found);
        return suspicions;
    }

private:
    struct InterruptedAnswer {
        Fingerprint fingerprint = 0;
        std::uint64_t crashId = 0;
        loop::TimeMs at = 0;
    };

    static void removeExpired(std::vector<InterruptedAnswer>& answers, loop::TimeMs now)
    {
        const auto isExpired = [now](const InterruptedAnswer& answer) { return now - answer.at > WINDOW_MS; };
        answers.erase(std::remove_if(answers.begin(), answers.end(), isExpired), answers.end());
    }

    std::unordered_map<routing::NodeKey, std::vector<InterruptedAnswer>> interrupted_;
};

} // namespace goldcrestcleat::admission
