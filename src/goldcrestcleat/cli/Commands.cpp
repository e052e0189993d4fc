#include "goldcrestcleat/cli/Commands.h"

#include "goldcrestcleat/Daemon.h"
#include "goldcrestcleat/FrontDaemon.h"
#include "goldcrestcleat/cli/ConfigurationCommand.h"
#include "goldcrestcleat/cli/LogCommands.h"
#include "goldcrestcleat/cli/OperatorCommands.h"
#include "goldcrestcleat/cli/QuarantineCommands.h"
#include "goldcrestcleat/cli/Report.h"
#include "platform/Adapter.h"

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>

ABSL_FLAG(std::string, config, "",
    "settings file (JSON) of serve, front and check-config; without it, front uses $GOLDCRESTCLEAT_BOOT");

ABSL_FLAG(std::string, configuration, "", "configuration that check-config checks before it is sent");
ABSL_FLAG(std::string, in_force, "", "configuration in force, with which check-config compares it");
ABSL_FLAG(bool, front, false, "make check-config validate settings of front instead of serve");
ABSL_FLAG(std::string, out, "report.html", "output file of report");

ABSL_DECLARE_FLAG(std::string, request);
ABSL_DECLARE_FLAG(bool, json);

namespace goldcrestcleat::cli {

namespace {

    constexpr const char* VERSION = "0.1.0";

    // The running daemon, for the signal handlers.
    Daemon* runningDaemon = nullptr;
    FrontDaemon* runningFrontDaemon = nullptr;

    void onStopSignal(int) { runningDaemon->requestStop(); }

    void onFrontStopSignal(int) { runningFrontDaemon->requestStop(); }

    void onFrontReloadSignal(int) { runningFrontDaemon->requestReload(); }

    std::string frontSettingsPath()
    {
        const std::string path = absl::GetFlag(FLAGS_config);
        const char* fromEnvironment = std::getenv("GOLDCRESTCLEAT_BOOT");
        return path.empty() && fromEnvironment ? fromEnvironment : path;
    }

    int runFront()
    {
        FrontDaemon daemon(frontSettingsPath(), platform::makeAdapter());
        runningFrontDaemon = &daemon;
        std::signal(SIGTERM, onFrontStopSignal);
        std::signal(SIGINT, onFrontStopSignal);
        std::signal(SIGHUP, onFrontReloadSignal);
        std::signal(SIGPIPE, SIG_IGN);
        // Exits without running static destructors: log4cplus waits for its worker threads in one, and a process that
        // exceeds the grace period of a planned stop is killed. No log line is lost, since each is written immediately.
        std::_Exit(daemon.run());
    }

    int runServe()
    {
        Daemon daemon(settings::loadSettings(absl::GetFlag(FLAGS_config)));
        runningDaemon = &daemon;
        std::signal(SIGTERM, onStopSignal);
        std::signal(SIGINT, onStopSignal);
        std::signal(SIGPIPE, SIG_IGN);
        return daemon.run();
    }

    int checkConfig()
    {
        const std::string configuration = absl::GetFlag(FLAGS_configuration);
        if (!configuration.empty())
            return checkConfigurationFile(
                platform::makeAdapter(), configuration, absl::GetFlag(FLAGS_in_force), absl::GetFlag(FLAGS_json));
        if (absl::GetFlag(FLAGS_front))
            settings::loadFrontSettings(absl::GetFlag(FLAGS_config));
        else
            settings::loadSettings(absl::GetFlag(FLAGS_config));
        std::cout << "settings are valid\n";
        return ExitCode::Success;
    }

    const std::map<std::string, std::string>& helpTexts()
    {
        static const std::map<std::string, std::string> texts = {
            { "serve", "serve --config FILE\n  Runs the daemon of one entry VM. SIGTERM begins a planned stop.\n" },
            { "front",
                "front [--config FILE]\n  Runs the daemon of one entry VM on a platform that keeps configuration and "
                "servers in its store. SIGTERM begins a planned stop, SIGHUP reloads the settings.\n" },
            { "check-config",
                "check-config [--front] --config FILE\n  Validates a settings file of serve, or of front as rendered "
                "by the platform, and prints each error with its result code and JSON pointer.\n"
                "check-config --configuration FILE [--in_force FILE] [--json]\n  Checks an operator's configuration "
                "before it is sent: errors, entries that never match, limits that contradict each other, and what "
                "differs from the one in force. Exit code 3 if there is an error.\n" },
            { "report",
                "report [--out FILE] LOGFILE...\n  Writes an HTML page with plots from the logs of one or "
                "several front daemons.\n" },
            { "version", "version\n  Prints the version.\n" },
            { "profile",
                "profile publish --file FILE [--expect VERSION] [--change_id ID] [--dry_run]\nprofile show "
                "NAME\nprofile list\nprofile history NAME\n" },
            { "upstream",
                "upstream retire ID [--change_id ID]\nupstream restore ID [--change_id ID]\nupstream list\n" },
            { "stop",
                "stop plan VM [--change_id ID]\nstop cancel VM [--change_id ID]\nstop status\n  A planned stop removes "
                "the daemon from the entry answers, completes its open requests and exits.\n" },
            { "quarantine",
                "quarantine list\nquarantine lift FINGERPRINT [--change_id ID]\n  Shows the contents and prompt parts "
                "that "
                "are refused because they crash servers, or lifts such a ban.\n"
                "quarantine list --config FILE\nquarantine lift FINGERPRINT --config FILE [--operator_name NAME]\n  "
                "The "
                "same for front daemons, by their store. A lifted ban ends within 10 s.\n" },
            { "status", "status [--json]\n  Shows daemons, upstreams, loads and the age of each report.\n" },
            { "audit", "audit [--after NUMBER]\n  Shows the audit trail: who changed what, and when.\n" },
            { "explain",
                "explain --request ID | --chat ID\n  Shows how the upstream of a request was chosen.\n"
                "explain --request ID LOGFILE...\n  Shows the timeline of a request and the cause of its outcome from "
                "the logs of one or several front daemons.\n" },
        };
        return texts;
    }

} // namespace

std::string helpText(const std::string& subcommand)
{
    const auto found = helpTexts().find(subcommand);
    if (found != helpTexts().end())
        return "goldcrestcleat " + found->second;
    std::string text = "goldcrestcleat SUBCOMMAND [FLAGS]\n\n";
    for (const auto& [name, help] : helpTexts())
        text += help;
    text += "\nOperators' subcommands take --admin IP:PORT and --token_file FILE.\n"
            "Exit codes: 0 success, 1 failure, 2 invalid usage, 3 invalid settings, 4 rejected by the daemon, "
            "5 no daemon answered, or the answer broke off.\n";
    return text;
}

int runCommand(const std::vector<std::string>& arguments)
{
    const std::string name = arguments.empty() ? "" : arguments.front();
    try {
        if (name == "serve")
            return runServe();
        if (name == "front")
            return runFront();
        if (name == "check-config")
            return checkConfig();
        if (name == "version") {
            std::cout << "goldcrestcleat " << VERSION << "\n";
            return ExitCode::Success;
        }
        if (name == "explain" && arguments.size() > 1)
            return explainFromLogs({ arguments.begin() + 1, arguments.end() }, absl::GetFlag(FLAGS_request));
        if (name == "report" && arguments.size() > 1)
            return reportFromLogs({ arguments.begin() + 1, arguments.end() }, absl::GetFlag(FLAGS_out));
        if (name == "quarantine" && !absl::GetFlag(FLAGS_config).empty())
            return runStoredQuarantine(
                arguments, settings::loadFrontSettings(absl::GetFlag(FLAGS_config)), platform::makeAdapter());
        if (helpTexts().count(name) > 0 && name != "report")
            return runOperatorCommand(arguments);
        std::cerr << helpText("");
        return ExitCode::BadUsage;
    } catch (const errors::SettingsError& e) {
        std::cerr << e.what() << "\n";
        return ExitCode::BadSettings;
    } catch (const errors::Error& e) {
        std::cerr << e.what() << "\n";
        return ExitCode::Failed;
    }
}

} // namespace goldcrestcleat::cli
