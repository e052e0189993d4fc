#include "Common.h"

#include <Poco/URI.h>

#include <map>

namespace standins {

using nlohmann::json;

namespace {

    /// The platform: a table with conditional transactions, and a list of VMs that lags behind changes.
    class Platform {
    public:
        Platform(loop::EventLoop& eventLoop, const std::string& truthPath, const json& switches)
            : loop_(eventLoop)
            , truth_(truthPath)
        {
            faults_.set(switches);
        }

        void handle(const http::Exchange::Ptr& exchange)
        {
            if (exchange->path() == "/control") {
                control(json::parse(exchange->body()));
                replyJson(*exchange, 200, json::object());
                return;
            }
            if (faults_.number("down")) {
                exchange->abort();
                return;
            }
            if (faults_.number("silent"))
                return;
            loop_.after(faults_.number("delayMs"), [this, exchange] { serveTable(exchange); });
        }

    private:
        struct Row {
            json value;
            std::uint64_t revision = 0;
        };

        void serveTable(const http::Exchange::Ptr& exchange)
        {
            const std::string& path = exchange->path();
            if (path == "/v1/vms")
                sendVms(*exchange);
            else if (path == "/v1/get")
                sendRows(*exchange, json::parse(exchange->body()));
            else if (path == "/v1/range")
                sendRange(*exchange, json::parse(exchange->body()));
            else if (path == "/v1/commit")
                commit(*exchange, json::parse(exchange->body()));
            else
                replyJson(*exchange, 404, json::object());
        }

        void sendRows(http::Exchange& exchange, const json& request)
        {
            json rows = json::array();
            for (const std::string key : request.at("keys")) {
                const auto row = table_.find(key);
                if (row != table_.end())
                    rows.push_back(toJson(*row));
            }
            replyJson(exchange, 200, { { "rows", rows } });
        }

        void sendRange(http::Exchange& exchange, const json& request)
        {
            const std::string prefix = request.at("prefix");
            const std::string after = request.value("after", "");
            json rows = json::array();
            for (auto row = table_.lower_bound(std::max(prefix, after)); row != table_.end(); ++row) {
                const bool isMatch = row->first.rfind(prefix, 0) == 0 && row->first > after;
                if (row->first.rfind(prefix, 0) != 0 || rows.size() >= request.value("limit", std::size_t { 100 }))
                    break;
                if (isMatch)
                    rows.push_back(toJson(*row));
            }
            replyJson(exchange, 200, { { "rows", rows } });
        }

        void commit(http::Exchange& exchange, const json& request)
        {
            const std::string prefix = faults_.text("dropPrefix");
            const bool isAffected
                = request["put"].empty() || std::string(request["put"][0]["key"]).rfind(prefix, 0) == 0;
            if (isAffected && faults_.consume("dropRequestNext")) {
                exchange.abort();
                return;
            }
            const bool committed = apply(request);
            if (isAffected && faults_.consume("dropReplyNext")) {
                exchange.abort();
                return;
            }
            replyJson(exchange, 200, { { "committed", committed } });
            if (committed && faults_.consume("downAfterCommit"))
                faults_.set({ { "down", 1 } });
        }

        bool apply(const json& request)
        {
            for (const auto& condition : request.at("if")) {
                const auto row = table_.find(condition.at("key"));
                const std::uint64_t revision = row == table_.end() ? 0 : row->second.revision;
                if (revision != condition.at("revision").get<std::uint64_t>())
                    return false;
            }
            ++revision_;
            for (const auto& put : request.at("put")) {
                table_[put.at("key")] = { put.at("value"), revision_ };
                truth_.write(loop_.now(), { { "event", "put" }, { "key", put["key"] }, { "value", put["value"] } });
            }
            for (const std::string key : request.value("delete", json::array())) {
                table_.erase(key);
                truth_.write(loop_.now(), { { "event", "delete" }, { "key", key } });
            }
            return true;
        }

        void sendVms(http::Exchange& exchange)
        {
            const Poco::URI uri(exchange.head().getURI());
            if (exchange.query("known") == std::to_string(listRevision_)) {
                exchange.reply(204, {}, "");
                return;
            }
            json list = json::array();
            for (const auto& [id, vm] : vms_)
                list.push_back(vm);
            replyJson(exchange, 200, { { "revision", listRevision_ }, { "vms", list } });
        }

        /// Sets fault switches. `vm` updates an entry of the VM list after a delay of `listLagMs`.
        void control(json request)
        {
            if (request.contains("vm")) {
                const json vm = request["vm"];
                loop_.after(faults_.number("listLagMs"), [this, vm] {
                    vms_[vm.at("id")].update(vm);
                    ++listRevision_;
                });
                request.erase("vm");
            }
            faults_.set(request);
        }

        static json toJson(const std::pair<const std::string, Row>& row)
        {
            return { { "key", row.first }, { "value", row.second.value }, { "revision", row.second.revision } };
        }

        loop::EventLoop& loop_;
        TruthLog truth_;
        Faults faults_;
        std::map<std::string, Row> table_;
        std::uint64_t revision_ = 0;
        std::map<std::string, json> vms_;
        std::uint64_t listRevision_ = 1;
    };

} // namespace

int runPlatform(const std::string& address, const std::string& truthPath, const json& faults)
{
    loop::EventLoop eventLoop;
    Platform platform(eventLoop, truthPath, faults);
    return serve(eventLoop, address, [&](const http::Exchange::Ptr& exchange) { platform.handle(exchange); });
}

} // namespace standins
