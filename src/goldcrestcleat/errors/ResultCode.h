#pragma once

#include <stdexcept>
#include <string>
#include <vector>

/// Numbered result codes and the exceptions that carry them.
namespace goldcrestcleat::errors {

/// Says whether an upstream may have run the request that a result belongs to.
enum class Executed { No, Yes, Unknown };

/// Stable numbers of all results that callers, operators or logs can see; docs/ERRORS.md lists cause and cure.
enum class ResultCode : int {
    Ok = 0,

    MalformedRequest = 1001,
    HeadTooLarge = 1002,
    BodyTooLarge = 1003,
    BadJson = 1004,
    MissingWorkspace = 1005,
    UnknownWorkspace = 1006,
    BadWorkspaceKey = 1007,
    UnknownProfile = 1008,
    UnknownService = 1009,
    UnknownModel = 1010,
    UnknownPath = 1011,
    MethodNotAllowed = 1012,
    IdempotencyKeyRequired = 1013,
    IdempotencyKeyReused = 1014,
    InvalidField = 1015,
    RequestTimeout = 1016,
    CallerGone = 1017,

    DeadlineUnreachable = 2002,
    WorkspaceLimit = 2003,
    Quarantined = 2004,
    NoUpstream = 2005,
    NotReady = 2007,

    UpstreamFailed = 3001,
    UpstreamTimeout = 3002,
    AnswerIncomplete = 3003,

    StoreUnavailable = 4001,
    ClaimInProgress = 4002,
    OutcomeUnknown = 4003,

    Unauthorised = 5001,
    VersionConflict = 5002,
    ProfileInvalid = 5003,
    UnknownUpstream = 5004,
    ChangeOutcomeUnknown = 5005,
    UnknownExplanation = 5006,

    SettingsUnreadable = 6001,
    SettingsSyntax = 6002,
    UnknownSetting = 6003,
    WrongType = 6004,
    OutOfRange = 6005,
    DuplicateId = 6006,
    BadAddress = 6007,
    MissingSetting = 6008,
    AddressInUse = 6009,

    PeerRejected = 7001,
    PeerFrameInvalid = 7002,

    ConfigurationInvalid = 8001,
    ServerEntryInvalid = 8002,
    StoreAnswerInvalid = 8003,

    Internal = 9001,
};

/// One row of the result table.
struct ResultInfo {
    ResultCode code;
    const char* name; ///< stable identifier, as in "StoreUnavailable"
    int httpStatus;
    Executed executed; ///< what holds unless the request's own history says otherwise
    const char* message;
};

/// Returns the row of a code. Complexity: linear in the table's length.
const ResultInfo& info(ResultCode code);

/// Returns all rows in ascending order of their codes.
const std::vector<ResultInfo>& allResults();

/// Returns "no", "yes" or "unknown".
const char* toString(Executed executed);

/// Base class of every exception of this program; carries a numbered result.
class Error : public std::runtime_error {
public:
    Error(ResultCode code, const std::string& context);

    ResultCode code() const { return code_; }

private:
    ResultCode code_;
};

/// Thrown when a caller's or operator's request can't be accepted as it stands.
class RequestError : public Error {
public:
    using Error::Error;
};

/// Thrown when the settings can't be used; the message lists every fault.
class SettingsError : public Error {
public:
    using Error::Error;
};

/// Thrown when a peer's frame or proof of identity is wrong.
class PeerError : public Error {
public:
    using Error::Error;
};

} // namespace goldcrestcleat::errors
