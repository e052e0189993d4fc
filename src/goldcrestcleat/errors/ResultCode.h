#pragma once

#include <stdexcept>
#include <string>
#include <vector>

/// Numeric result codes, and exceptions that carry them.
namespace goldcrestcleat::errors {

/// Whether an upstream has executed the request that a result refers to.
enum class Executed { No, Yes, Unknown };

/// Stable codes of all results visible to callers and operators or in logs. docs/ERRORS.md lists causes and remedies.
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
    MemoryLimit = 2008,
    Stopping = 2009,

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
    UnknownBan = 5007,

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

/// Properties of a result code.
struct ResultInfo {
    ResultCode code;
    const char* name; ///< stable identifier, as in "StoreUnavailable"
    int httpStatus;
    Executed executed; ///< default; the course of a request may show otherwise
    const char* message;
};

/// Returns the properties of a code. Complexity: linear in the number of codes.
const ResultInfo& info(ResultCode code);

/// Returns the properties of all codes, in ascending order of the codes.
const std::vector<ResultInfo>& allResults();

/// Returns "no", "yes" or "unknown".
const char* toString(Executed executed);

/// Base class of all exceptions of this program. Carries a result code.
class Error : public std::runtime_error {
public:
    Error(ResultCode code, const std::string& context);

    ResultCode code() const { return code_; }

private:
    ResultCode code_;
};

/// Thrown when a request of a caller or an operator is invalid.
class RequestError : public Error {
public:
    using Error::Error;
};

/// Thrown when the settings are missing or invalid. The message lists all faults.
class SettingsError : public Error {
public:
    using Error::Error;
};

/// Thrown when a message frame or the authentication of a peer is invalid.
class PeerError : public Error {
public:
    using Error::Error;
};

} // namespace goldcrestcleat::errors
