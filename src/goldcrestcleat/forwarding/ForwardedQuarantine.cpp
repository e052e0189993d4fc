#include "goldcrestcleat/forwarding/ForwardedRequest.h"

#include <algorithm>
#include <utility>

// The part of ForwardedRequest that refuses requests that crash servers.

namespace goldcrestcleat::forwarding {

using errors::ResultCode;

void ForwardedRequest::onBan(admission::Fingerprint fingerprint)
{
    const auto& fingerprints = plan_.fingerprints;
    const bool isAffected = std::find(fingerprints.begin(), fingerprints.end(), fingerprint) != fingerprints.end();
    if (isEnded_ || !isAffected || attempt_.headAt || probedBan_)
        return;
    possibleRuns_ += runningAttempts();
    failQuarantined(fingerprint);
}

// ---- private ----

/// Ends the request because of a ban.
void ForwardedRequest::failQuarantined(admission::Fingerprint fingerprint)
{
    const auto* ban = env_.quarantine.find(fingerprint);
    env_.metrics.onQuarantineRefusal(admission::toHex(fingerprint));
    fail(ResultCode::Quarantined, ban ? admission::describe(*ban) : "");
}

/// Returns false if the request is refused, or if it is not yet known whether it may be sent as a probe.
bool ForwardedRequest::passesQuarantine()
{
    const auto* ban = env_.quarantine.findBan(plan_.fingerprints);
    if (!ban || probedBan_)
        return true;
    if (attemptCount_ > 0 || !env_.quarantineHooks.claimProbe || !env_.quarantine.isProbeDue(*ban)) {
        failQuarantined(ban->fingerprint);
        return false;
    }
    probedBan_ = ban->fingerprint;
    env_.quarantineHooks.claimProbe(ban->fingerprint, [weak = weak_from_this()](bool isClaimed) {
        if (const auto self = weak.lock())
            self->onProbeClaimed(isClaimed);
    });
    return false;
}

void ForwardedRequest::onProbeClaimed(bool isClaimed)
{
    if (isEnded_)
        return;
    if (isClaimed) {
        place();
        return;
    }
    failQuarantined(*std::exchange(probedBan_, std::nullopt));
}

} // namespace goldcrestcleat::forwarding
