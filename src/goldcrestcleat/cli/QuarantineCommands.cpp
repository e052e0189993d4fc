#include "goldcrestcleat/cli/QuarantineCommands.h"

#include "goldcrestcleat/admission/Quarantine.h"
#include "goldcrestcleat/cli/Commands.h"
#include "goldcrestcleat/fleet/VerdictRows.h"

#include <absl/flags/flag.h>

#include <algorithm>
#include <iostream>

ABSL_FLAG(std::string, operator_name, "operator", "name of the operator who lifts a ban, for its record");

namespace goldcrestcleat::cli {

using admission::Verdict;
using fleet::SaveOutcome;

namespace {

    /// Calls of the command to the store, one at a time.
    class StoredVerdicts {
    public:
        StoredVerdicts(const settings::FrontSettings& settings, const PlatformAdapter& adapter)
            : store_(adapter.makeStore(loop_, settings.storeAddress))
            , log_(settings.self.id, "warn")
            , rows_(store_, log_)
        {
        }

        std::optional<std::vector<Verdict>> read()
        {
            std::optional<std::vector<Verdict>> result;
            bool isDone = false;
            rows_.read([&](const auto& verdicts) {
                result = verdicts;
                isDone = true;
            });
            while (!isDone)
                loop_.runOnce();
            return result;
        }

        SaveOutcome save(const Verdict& verdict)
        {
            std::optional<SaveOutcome> result;
            rows_.save(verdict, [&](SaveOutcome outcome) { result = outcome; });
            while (!result)
                loop_.runOnce();
            return *result;
        }

    private:
        loop::EventLoop loop_;
        store::RowStore store_;
        observe::Log log_;
        fleet::VerdictRows rows_;
    };

    int printError(errors::ResultCode code, const std::string& context, int exitCode)
    {
        std::cerr << errors::Error(code, context).what() << "\n";
        return exitCode;
    }

    void printBans(const std::vector<Verdict>& verdicts)
    {
        nlohmann::json bans = nlohmann::json::array();
        for (const auto& verdict : verdicts) {
            if (verdict.isBanned)
                bans.push_back(admission::toJson(verdict));
        }
        std::cout << nlohmann::json { { "bans", bans } }.dump(2) << "\n";
    }

    int lift(StoredVerdicts& stored, const std::vector<Verdict>& verdicts, const std::string& fingerprint)
    {
        const auto ban = std::find_if(verdicts.begin(), verdicts.end(), [&](const Verdict& verdict) {
            return verdict.isBanned && admission::toHex(verdict.fingerprint) == fingerprint;
        });
        if (ban == verdicts.end())
            return printError(errors::ResultCode::UnknownBan, fingerprint, ExitCode::Refused);
        const Verdict lifted = admission::Quarantine::withLift(*ban, absl::GetFlag(FLAGS_operator_name));
        switch (stored.save(lifted)) {
        case SaveOutcome::Saved:
            std::cout << admission::toJson(lifted).dump(2) << "\n";
            return ExitCode::Success;
        case SaveOutcome::Superseded:
            return printError(errors::ResultCode::VersionConflict, fingerprint, ExitCode::Refused);
        case SaveOutcome::Failed:
            break;
        }
        return printError(errors::ResultCode::ChangeOutcomeUnknown, fingerprint, ExitCode::Unreachable);
    }

} // namespace

int runStoredQuarantine(
    const std::vector<std::string>& arguments, const settings::FrontSettings& settings, const PlatformAdapter& adapter)
{
    const std::string action = arguments.size() > 1 ? arguments[1] : "";
    const bool isLift = action == "lift" && arguments.size() > 2;
    if (!isLift && action != "list") {
        std::cerr << helpText("quarantine");
        return ExitCode::BadUsage;
    }
    StoredVerdicts stored(settings, adapter);
    const auto verdicts = stored.read();
    if (!verdicts)
        return printError(errors::ResultCode::StoreUnavailable, settings.storeAddress, ExitCode::Unreachable);
    if (isLift)
        return lift(stored, *verdicts, arguments[2]);
    printBans(*verdicts);
    return ExitCode::Success;
}

} // namespace goldcrestcleat::cli
