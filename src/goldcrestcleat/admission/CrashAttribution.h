#pragma once

#include "goldcrestcleat/admission/CrashReport.h"
#include "goldcrestcleat/routing/Keys.h"

#include <algorithm>
#include <optional>
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
    void onAnswerInterrupted(routing::NodeKey server, InterruptedRun run, loop::TimeMs now)
    {
        auto& interrupted = interrupted_[server];
        removeExpired(interrupted, now);
        interrupted.push_back({ std::move(run), now });
    }

    /// Returns the suspects of a server whose process was found to have ended, and removes them: the runs at the most
    /// suspicious stage. Returns nothing if there are none.
    std::optional<CrashReport> onProcessEnded(routing::NodeKey server, loop::TimeMs now)
    {
        const auto found = interrupted_.find(server);
        if (found == interrupted_.end())
            return std::nullopt;
        const std::vector<InterruptedAnswer> answers = std::move(found->second);
        interrupted_.erase(found);
        CrashReport report;
        report.stage = RunStage::Running;
        for (const auto& answer : answers) {
            if (!isExpired(answer, now))
                report.stage = std::min(report.stage, answer.run.stage);
        }
        for (const auto& answer : answers) {
            if (isExpired(answer, now) || answer.run.stage != report.stage)
                continue;
            report.crashId = answer.run.crashId;
            report.host = answer.run.host;
            const auto& fingerprints = answer.run.fingerprints;
            report.suspects.insert(report.suspects.end(), fingerprints.begin(), fingerprints.end());
            report.ageMs = std::max(report.ageMs, now - answer.at);
        }
        return report.suspects.empty() ? std::nullopt : std::optional<CrashReport>(report);
    }

private:
    struct InterruptedAnswer {
        InterruptedRun run;
        loop::TimeMs at = 0;
    };

    static bool isExpired(const InterruptedAnswer& answer, loop::TimeMs now) { return now - answer.at > WINDOW_MS; }

    static void removeExpired(std::vector<InterruptedAnswer>& answers, loop::TimeMs now)
    {
        answers.erase(
            std::remove_if(answers.begin(), answers.end(), [now](const auto& a) { return isExpired(a, now); }),
            answers.end());
    }

    std::unordered_map<routing::NodeKey, std::vector<InterruptedAnswer>> interrupted_;
};

} // namespace goldcrestcleat::admission
