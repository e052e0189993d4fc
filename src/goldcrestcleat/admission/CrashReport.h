#pragma once

#include "goldcrestcleat/admission/Fingerprint.h"
#include "goldcrestcleat/loop/EventLoop.h"

#include <string>
#include <tuple>
#include <vector>

namespace goldcrestcleat::admission {

/// How far a run had come when its server ended, the most suspicious first: servers crash on a request when they begin
/// to answer it, or to run it.
enum class RunStage {
    Begun, ///< the answer had begun less than BEGINNING_MS before
    Waiting, ///< no part of the answer had arrived
    Running ///< the answer had begun earlier
};

/// Time after the head of an answer within which the end of its server may be due to it. A run that lasts longer is
/// evidence for its request.
constexpr loop::TimeMs BEGINNING_MS = 120;

/// A run whose answer was interrupted.
struct InterruptedRun {
    std::uint64_t crashId = 0; ///< of the report if the server has ended
    std::uint64_t host = 0; ///< hash of the server's address
    std::vector<Fingerprint> fingerprints; ///< of its request, the content first
    RunStage stage = RunStage::Waiting;
    bool isIsolated = false; ///< no other suspect ran beside it
};

/// The end of a server process, and what may have caused it. The daemons that had requests there report it separately.
struct CrashReport {
    std::uint64_t crashId = 0; ///< hash of the instance that ended, equal in the reports of all daemons
    std::uint64_t host = 0; ///< hash of its address, which its next start may keep
    RunStage stage = RunStage::Waiting; ///< of the suspects' runs
    bool isIsolated = false; ///< the suspects were the only ones there
    loop::TimeMs ageMs = 0; ///< time since the first answer was interrupted
    std::string reporter; ///< id of the daemon's VM
    std::vector<Fingerprint> suspects; ///< fingerprints of the requests at the most suspicious stage

    friend bool operator==(const CrashReport& a, const CrashReport& b)
    {
        return std::tie(a.crashId, a.host, a.stage, a.isIsolated, a.ageMs, a.reporter, a.suspects)
            == std::tie(b.crashId, b.host, b.stage, b.isIsolated, b.ageMs, b.reporter, b.suspects);
    }
};

} // namespace goldcrestcleat::admission
