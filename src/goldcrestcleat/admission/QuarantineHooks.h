#pragma once

#include "goldcrestcleat/admission/Fingerprint.h"

#include <functional>
#include <vector>

namespace goldcrestcleat::admission {

/// What a request reports to the quarantine of its fleet, and what it asks of it. Each may be unset.
struct QuarantineHooks {
    /// A server survived the beginning of its answer to a request with these fingerprints.
    std::function<void(const std::vector<Fingerprint>&)> onAnswerBegun;

    /// Claims a probe of a ban; reports whether one request may be sent in spite of it. Without it, none is.
    std::function<void(Fingerprint, std::function<void(bool isClaimed)>)> claimProbe;

    /// The probe that this daemon sent was answered.
    std::function<void(Fingerprint)> onProbeAnswered;
};

} // namespace goldcrestcleat::admission
