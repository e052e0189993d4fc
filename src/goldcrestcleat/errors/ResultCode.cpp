#include "goldcrestcleat/errors/ResultCode.h"

#include <algorithm>

namespace goldcrestcleat::errors {

const std::vector<ResultInfo>& allResults()
{
    using R = ResultCode;
    using E = Executed;
    static const std::vector<ResultInfo> table = {
        { R::Ok, "Ok", 200, E::Yes, "done" },
        { R::MalformedRequest, "MalformedRequest", 400, E::No, "the HTTP request can't be parsed" },
        { R::HeadTooLarge, "HeadTooLarge", 431, E::No, "the request head is over the size limit" },
        { R::BodyTooLarge, "BodyTooLarge", 413, E::No, "the request body is over the size limit" },
        { R::BadJson, "BadJson", 400, E::No, "the body is not valid UTF-8 JSON" },
        { R::MissingWorkspace, "MissingWorkspace", 400, E::No, "the request names no workspace" },
        { R::UnknownWorkspace, "UnknownWorkspace", 403, E::No, "no such workspace" },
        { R::BadWorkspaceKey, "BadWorkspaceKey", 401, E::No, "the key does not belong to the workspace" },
        { R::UnknownProfile, "UnknownProfile", 400, E::No, "no such profile" },
        { R::UnknownService, "UnknownService", 404, E::No, "no such service" },
        { R::UnknownModel, "UnknownModel", 404, E::No, "no engine serves this model" },
        { R::UnknownPath, "UnknownPath", 404, E::No, "no such path" },
        { R::MethodNotAllowed, "MethodNotAllowed", 405, E::No, "the path does not take this method" },
        { R::IdempotencyKeyRequired, "IdempotencyKeyRequired", 400, E::No,
            "this call needs an Idempotency-Key header" },
        { R::IdempotencyKeyReused, "IdempotencyKeyReused", 422, E::No, "the Idempotency-Key belongs to another call" },
        { R::InvalidField, "InvalidField", 400, E::No, "a field has a wrong type or value" },
        { R::RequestTimeout, "RequestTimeout", 408, E::No, "the request did not arrive in time" },
        { R::CallerGone, "CallerGone", 499, E::Unknown, "the caller closed its connection before the answer ended" },
        { R::DeadlineUnreachable, "DeadlineUnreachable", 503, E::No, "the request can't start before its deadline" },
        { R::WorkspaceLimit, "WorkspaceLimit", 429, E::No, "the workspace has too many requests open" },
        { R::Quarantined, "Quarantined", 422, E::No, "upstreams crashed while running this request" },
        { R::NoUpstream, "NoUpstream", 503, E::No, "no live upstream takes this request" },
        { R::NotReady, "NotReady", 503, E::No, "this VM has not read the configuration yet" },
        { R::MemoryLimit, "MemoryLimit", 503, E::No, "the open requests exceed the memory limit of this VM" },
        { R::Stopping, "Stopping", 503, E::No, "this VM stops before the request's time limit" },
        { R::UpstreamFailed, "UpstreamFailed", 502, E::Unknown, "the upstream failed while it held the request" },
        { R::UpstreamTimeout, "UpstreamTimeout", 504, E::Unknown, "the upstream did not answer in time" },
        { R::AnswerIncomplete, "AnswerIncomplete", 502, E::Unknown, "the answer broke off and can't be resumed" },
        { R::StoreUnavailable, "StoreUnavailable", 503, E::No, "the table service can't be reached" },
        { R::ClaimInProgress, "ClaimInProgress", 409, E::Unknown, "another call with this key is still open" },
        { R::OutcomeUnknown, "OutcomeUnknown", 409, E::Unknown,
            "a call with this key was sent and its result is unknown" },
        { R::Unauthorised, "Unauthorised", 401, E::No, "the operator token is missing or wrong" },
        { R::VersionConflict, "VersionConflict", 409, E::No, "another change was accepted first" },
        { R::ProfileInvalid, "ProfileInvalid", 422, E::No, "the profile has faults" },
        { R::UnknownUpstream, "UnknownUpstream", 404, E::No, "no such upstream" },
        { R::ChangeOutcomeUnknown, "ChangeOutcomeUnknown", 503, E::Unknown,
            "the change was sent and its reply was lost; send it again with the same change id" },
        { R::UnknownExplanation, "UnknownExplanation", 404, E::No, "nothing is recorded under this id" },
        { R::UnknownBan, "UnknownBan", 404, E::No, "no ban has this fingerprint" },
        { R::SettingsUnreadable, "SettingsUnreadable", 0, E::No, "the settings file can't be read" },
        { R::SettingsSyntax, "SettingsSyntax", 0, E::No, "the settings file is not valid JSON" },
        { R::UnknownSetting, "UnknownSetting", 0, E::No, "unknown setting" },
        { R::WrongType, "WrongType", 0, E::No, "wrong type" },
        { R::OutOfRange, "OutOfRange", 0, E::No, "value out of range" },
        { R::DuplicateId, "DuplicateId", 0, E::No, "id is used twice" },
        { R::BadAddress, "BadAddress", 0, E::No, "not an IP:port address" },
        { R::MissingSetting, "MissingSetting", 0, E::No, "setting is required" },
        { R::AddressInUse, "AddressInUse", 0, E::No, "a listener can't be opened" },
        { R::PeerRejected, "PeerRejected", 0, E::No, "the peer did not prove the fleet secret" },
        { R::PeerFrameInvalid, "PeerFrameInvalid", 0, E::No, "the peer sent a frame that can't be read" },
        { R::ConfigurationInvalid, "ConfigurationInvalid", 0, E::No, "the operator's configuration can't be read" },
        { R::ServerEntryInvalid, "ServerEntryInvalid", 0, E::No, "a server's entry can't be read" },
        { R::StoreAnswerInvalid, "StoreAnswerInvalid", 0, E::No, "the store's answer can't be read" },
        { R::Internal, "Internal", 500, E::Unknown, "internal fault" },
    };
    return table;
}

const ResultInfo& info(ResultCode code)
{
    const auto& table = allResults();
    const auto row = std::find_if(table.begin(), table.end(), [&](const ResultInfo& r) { return r.code == code; });
    return row == table.end() ? table.back() : *row;
}

const char* toString(Executed executed)
{
    switch (executed) {
    case Executed::No:
        return "no";
    case Executed::Yes:
        return "yes";
    case Executed::Unknown:
        break;
    }
    return "unknown";
}

Error::Error(ResultCode code, const std::string& context)
    : std::runtime_error("[" + std::to_string(static_cast<int>(code)) + " " + info(code).name + "] " + context)
    , code_(code)
{
}

} // namespace goldcrestcleat::errors
