#pragma once

#include "goldcrestcleat/admission/Quarantine.h"
#include "goldcrestcleat/profiles/Profile.h"
#include "goldcrestcleat/routing/Keys.h"
#include "goldcrestcleat/settings/Settings.h"

#include <string>

namespace goldcrestcleat::requests {

/// A validated request for a chat completion.
struct ChatCall {
    std::string requestId;
    const settings::Workspace* workspace = nullptr;
    profiles::Profile profile;
    std::string model;
    std::string chatId; ///< may be empty
    routing::ChatKey chat = 0;
    bool isReturning = false; ///< the chat has earlier turns
    bool isStream = false;
    std::string affinityToken; ///< as the caller sent it, not verified
    nlohmann::json body;
    std::vector<admission::Fingerprint> fingerprints; ///< the content first, then the messages but the last
};

} // namespace goldcrestcleat::requests
