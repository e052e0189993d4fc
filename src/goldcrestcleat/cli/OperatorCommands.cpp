#include "goldcrestcleat/cli/OperatorCommands.h"

#include "goldcrestcleat/cli/Commands.h"
#include "goldcrestcleat/observe/Digest.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>
#include <absl/flags/flag.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <optional>
#include <sstream>

ABSL_FLAG(std::string, admin, "", "admin address (IP:port) of any daemon");
ABSL_FLAG(std::string, token_file, "", "file that holds the operator's token");
ABSL_FLAG(std::string, change_id, "", "id of the change; resending a change with the same id has no further effect");
ABSL_FLAG(std::string, file, "", "profile document (JSON)");
ABSL_FLAG(
    std::int64_t, expect, -1, "current version that the change requires; it is rejected if another version is current");
ABSL_FLAG(bool, dry_run, false, "show the difference without applying it");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(std::string, request, "", "request id");
ABSL_FLAG(std::string, chat, "", "chat id");
ABSL_FLAG(std::int64_t, after, 0, "show audit records with a higher number");

namespace goldcrestcleat::cli {

using nlohmann::json;

namespace {

    constexpr int REPLY_TIMEOUT_S = 20;
    constexpr std::size_t CHANGE_ID_BYTES = 8;

    struct Reply {
        int status = 0; // HTTP status; 0 if no daemon sent a complete answer
        json body;
    };

    std::string readToken()
    {
        std::ifstream file(absl::GetFlag(FLAGS_token_file));
        std::string token;
        file >> token;
        return token;
    }

    Reply call(const std::string& method, const std::string& target, const json& body)
    {
        const Poco::URI uri("http://" + absl::GetFlag(FLAGS_admin));
        try {
            Poco::Net::HTTPClientSession session(uri.getHost(), uri.getPort());
            session.setTimeout(Poco::Timespan(REPLY_TIMEOUT_S, 0));
            Poco::Net::HTTPRequest request(method, target, Poco::Net::HTTPMessage::HTTP_1_1);
            request.set("Authorization", "Bearer " + readToken());
            const std::string text = method == "POST" ? body.dump() : "";
            request.setContentLength64(static_cast<Poco::Int64>(text.size()));
            session.sendRequest(request) << text;
            Poco::Net::HTTPResponse response;
            std::string answer;
            Poco::StreamCopier::copyToString(session.receiveResponse(response), answer);
            const json document = json::parse(answer, nullptr, false);
            if (!document.is_discarded())
                return { response.getStatus(), document };
            std::cerr << "incomplete answer from " << uri.getAuthority() << "\n";
        } catch (const Poco::Exception& e) {
            std::cerr << "no answer from " << uri.getAuthority() << ": " << e.displayText() << "\n";
        }
        return {};
    }

    int exitCodeOf(const Reply& reply)
    {
        if (reply.status == 0)
            return ExitCode::Unreachable;
        return reply.status == 200 ? ExitCode::Success : ExitCode::Refused;
    }

    int printReply(const Reply& reply)
    {
        if (reply.status == 200)
            std::cout << reply.body.dump(2) << "\n";
        else if (reply.status != 0)
            std::cerr << reply.body.dump(2) << "\n";
        return exitCodeOf(reply);
    }

    int submit(const std::string& target, json body)
    {
        std::string changeId = absl::GetFlag(FLAGS_change_id);
        if (changeId.empty())
            changeId = observe::randomHex(CHANGE_ID_BYTES);
        body["changeId"] = changeId;
        if (absl::GetFlag(FLAGS_expect) >= 0)
            body["expectedVersion"] = absl::GetFlag(FLAGS_expect);
        const Reply reply = call("POST", target, body);
        if (reply.status != 200)
            std::cerr << "change id " << changeId
                      << "; if the outcome is unknown, resend the change with --change_id\n";
        return printReply(reply);
    }

    std::string percentEncoded(const std::string& text)
    {
        std::string result;
        Poco::URI::encode(text, "!#$&'()*+,/:;=?@[]", result);
        return result;
    }

    int printUsage(const std::string& subcommand)
    {
        std::cerr << helpText(subcommand);
        return ExitCode::BadUsage;
    }

    int publishProfile()
    {
        std::ifstream file(absl::GetFlag(FLAGS_file));
        const json profile = json::parse(file, nullptr, false, /*ignore_comments*/ true);
        if (profile.is_discarded()) {
            std::cerr << "[1004 BadJson] " << absl::GetFlag(FLAGS_file) << "\n";
            return ExitCode::Failed;
        }
        return submit("/admin/profiles", { { "profile", profile }, { "dryRun", absl::GetFlag(FLAGS_dry_run) } });
    }

    int showProfile(const std::string& name)
    {
        const Reply reply = call("GET", "/admin/profiles", {});
        if (reply.status != 200)
            return printReply(reply);
        for (const auto& profile : reply.body["profiles"]) {
            if (profile["name"] == name)
                return printReply({ 200, profile });
        }
        std::cerr << "[1008 UnknownProfile] " << name << "\n";
        return ExitCode::Refused;
    }

    /// Reads the audit trail page by page, after record `after`, and returns the records that match the filter.
    std::optional<json> readAudit(std::uint64_t after, const std::function<bool(const json&)>& filter, int& exitCode)
    {
        json lines = json::array();
        for (;;) {
            const Reply reply = call("GET", "/admin/audit?limit=500&after=" + std::to_string(after), {});
            if (reply.status != 200) {
                exitCode = printReply(reply);
                return std::nullopt;
            }
            const json& page = reply.body["audit"];
            if (page.empty())
                return lines;
            for (const auto& line : page) {
                after = line["number"];
                if (filter(line))
                    lines.push_back(line);
            }
        }
    }

    int printAudit(std::uint64_t after, const std::function<bool(const json&)>& filter)
    {
        int exitCode = ExitCode::Success;
        const auto lines = readAudit(after, filter, exitCode);
        if (lines)
            std::cout << lines->dump(2) << "\n";
        return exitCode;
    }

    int profileCommand(const std::vector<std::string>& arguments)
    {
        const std::string action = arguments.size() > 1 ? arguments[1] : "";
        if (action == "publish")
            return publishProfile();
        if (action == "list")
            return printReply(call("GET", "/admin/profiles", {}));
        if (action == "show" && arguments.size() > 2)
            return showProfile(arguments[2]);
        if (action == "history" && arguments.size() > 2) {
            const std::string& name = arguments[2];
            return printAudit(
                0, [&](const json& line) { return line["id"] == name && line["action"] == "profile publish"; });
        }
        return printUsage("profile");
    }

    void printTable(const json& rows, const std::vector<std::string>& columns)
    {
        for (const auto& column : columns)
            std::cout << std::left << std::setw(14) << column;
        std::cout << "\n";
        for (const auto& row : rows) {
            for (const auto& column : columns) {
                const json value = row.value(column, json());
                std::cout << std::left << std::setw(14)
                          << (value.is_string() ? value.get<std::string>() : value.dump());
            }
            std::cout << "\n";
        }
    }

    int statusCommand(const std::vector<std::string>& sections)
    {
        const Reply reply = call("GET", "/admin/status", {});
        if (reply.status != 200 || absl::GetFlag(FLAGS_json))
            return printReply(reply);
        for (const auto& section : sections) {
            if (section == "daemons")
                printTable(reply.body["daemons"], { "vm", "up", "ready", "leaving", "heardMsAgo" });
            else
                printTable(reply.body["upstreams"],
                    { "id", "kind", "group", "takesWork", "retired", "leaving", "down", "load", "loadMsAgo" });
        }
        return ExitCode::Success;
    }

    int upstreamCommand(const std::vector<std::string>& arguments)
    {
        const std::string action = arguments.size() > 1 ? arguments[1] : "";
        if (action == "list")
            return statusCommand({ "upstreams" });
        if ((action == "retire" || action == "restore") && arguments.size() > 2)
            return submit("/admin/upstreams", { { "id", arguments[2] }, { "action", action } });
        return printUsage("upstream");
    }

    int stopCommand(const std::vector<std::string>& arguments)
    {
        const std::string action = arguments.size() > 1 ? arguments[1] : "";
        if (action == "status")
            return statusCommand({ "daemons" });
        if ((action == "plan" || action == "cancel") && arguments.size() > 2)
            return submit("/admin/stops", { { "id", arguments[2] }, { "action", action } });
        return printUsage("stop");
    }

    int quarantineCommand(const std::vector<std::string>& arguments)
    {
        const std::string action = arguments.size() > 1 ? arguments[1] : "";
        if (action == "list")
            return printReply(call("GET", "/admin/quarantine", {}));
        if (action == "lift" && arguments.size() > 2)
            return submit("/admin/quarantine", { { "id", arguments[2] } });
        return printUsage("quarantine");
    }

    int explainCommand()
    {
        const std::string request = absl::GetFlag(FLAGS_request);
        const std::string chat = absl::GetFlag(FLAGS_chat);
        if (request.empty() == chat.empty())
            return printUsage("explain");
        const std::string query
            = request.empty() ? "chat=" + percentEncoded(chat) : "request=" + percentEncoded(request);
        return printReply(call("GET", "/admin/explain?" + query, {}));
    }

} // namespace

int runOperatorCommand(const std::vector<std::string>& arguments)
{
    const std::string& name = arguments.front();
    if (absl::GetFlag(FLAGS_admin).empty())
        return printUsage(name);
    if (name == "profile")
        return profileCommand(arguments);
    if (name == "upstream")
        return upstreamCommand(arguments);
    if (name == "stop")
        return stopCommand(arguments);
    if (name == "quarantine")
        return quarantineCommand(arguments);
    if (name == "status")
        return statusCommand({ "daemons", "upstreams" });
    if (name == "audit") {
        const auto after = static_cast<std::uint64_t>(std::max<std::int64_t>(0, absl::GetFlag(FLAGS_after)));
        return printAudit(after, [](const json&) { return true; });
    }
    return explainCommand();
}

} // namespace goldcrestcleat::cli
