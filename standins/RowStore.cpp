#include "Common.h"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <list>
#include <map>

namespace standins {

using nlohmann::json;

namespace {

    long long queryNumber(const http::Exchange& exchange, const std::string& name)
    {
        const std::string text = exchange.query(name);
        return text.empty() ? 0 : std::stoll(text);
    }

    /// The store of the users' platform: tables of versioned rows with a change feed.
    class RowStore {
    public:
        RowStore(loop::EventLoop& eventLoop, const std::string& truthPath, const json& switches)
            : loop_(eventLoop)
            , truth_(truthPath)
        {
            faults_.set(switches);
        }

        void handle(const http::Exchange::Ptr& exchange)
        {
            if (exchange->path() == "/control") {
                control(json::parse(exchange->body()));
                replyJson(*exchange, 200, { { "ver", version_ }, { "calls", calls_ } });
                return;
            }
            ++calls_;
            if (faults_.number("silent"))
                return;
            if (faults_.number("reset")) {
                exchange->abort();
                return;
            }
            if (faults_.number("busy")) {
                reply(*exchange, 503, json::object());
                return;
            }
            loop_.after(faults_.number("delayMs"), [this, exchange] { answer(exchange); });
        }

    private:
        using Name = std::pair<std::string, std::string>; // table and key

        struct Row {
            std::string value; // base64
            std::uint64_t version = 0;
            bool isRemoved = false;
        };

        struct Watch {
            http::Exchange::Ptr exchange;
            std::uint64_t after = 0;
            bool isAnswered = false;
        };

        /// Every answer states how often the store has come back from an older copy.
        void reply(http::Exchange& exchange, int status, const json& body)
        {
            http::Fields fields;
            if (!faults_.number("hideEra"))
                fields.emplace_back("Store-Era", std::to_string(era_));
            replyJson(exchange, status, body, fields);
        }

        void answer(const http::Exchange::Ptr& exchange)
        {
            const std::string& path = exchange->path();
            if (path == "/goldcrestcleat/rows-get")
                sendTable(*exchange);
            else if (path == "/goldcrestcleat/rows-feed")
                watch(exchange);
            else if (path == "/goldcrestcleat/rows-tx")
                transact(*exchange, json::parse(exchange->body()));
            else
                reply(*exchange, 404, json::object());
        }

        json toJson(const Name& name, const Row& row) const
        {
            json document = { { "table", name.first }, { "part", "" }, { "key", name.second }, { "ver", row.version } };
            if (row.isRemoved)
                document["removed"] = true;
            else
                document["value"] = row.value;
            return document;
        }

        void sendTable(http::Exchange& exchange)
        {
            const std::string table = exchange.query("table");
            const auto limit = static_cast<std::size_t>(std::max(1LL, queryNumber(exchange, "limit")));
            json rows = json::array();
            bool isTruncated = false;
            const std::uint64_t version = readVersion();
            for (const auto& [name, row] : rowsAt(version)) {
                if (name.first != table || row.isRemoved || name.second < exchange.query("from"))
                    continue;
                isTruncated = rows.size() == limit;
                if (isTruncated)
                    break;
                rows.push_back(toJson(name, row));
            }
            reply(exchange, 200,
                { { "rows", rows }, { "truncated", isTruncated },
                    { "ver", faults_.number("hideStaleness") ? version_ : version }, { "nowMs", loop_.now() } });
        }

        /// Returns the version that whole reads show: the newest one, or that of a copy some versions behind.
        std::uint64_t readVersion() const
        {
            const auto behind = static_cast<std::uint64_t>(faults_.number("readsBehind"));
            return version_ - std::min(version_, behind);
        }

        std::map<Name, Row> rowsAt(std::uint64_t version) const
        {
            std::map<Name, Row> rows;
            for (const auto& [name, row] : history_) {
                if (row.version <= version)
                    rows[name] = row;
            }
            return rows;
        }

        /// Comes back from a copy that is some versions old. What was written since is lost, and its versions are given
        /// out again; open watches are cut.
        void restore(std::uint64_t versions)
        {
            version_ -= std::min(version_, versions);
            ++era_;
            const auto isLost = [this](const auto& change) { return change.second.version > version_; };
            history_.erase(std::remove_if(history_.begin(), history_.end(), isLost), history_.end());
            historyStart_ = std::min(historyStart_, version_);
            rows_ = rowsAt(version_);
            cutWatches();
        }

        void cutWatches()
        {
            for (const auto& watch : watches_)
                watch->exchange->abort();
            watches_.clear();
        }

        void set(const Name& name, const Row& row)
        {
            rows_[name] = row;
            history_.emplace_back(name, row);
        }

        /// Returns all changes after a version, including those that a later change of the same row has superseded.
        json changesAfter(const std::string& table, std::uint64_t after) const
        {
            json rows = json::array();
            for (const auto& [name, row] : history_) {
                if (name.first == table && row.version > after)
                    rows.push_back(toJson(name, row));
            }
            return rows;
        }

        void watch(const http::Exchange::Ptr& exchange)
        {
            const auto after = static_cast<std::uint64_t>(queryNumber(*exchange, "afterRev"));
            if (after < historyStart_ || after > version_) {
                reply(*exchange, 410, json::object());
                return;
            }
            const auto watch = std::make_shared<Watch>(Watch { exchange, after, false });
            watches_.push_back(watch);
            loop_.after(queryNumber(*exchange, "waitMs"), [this, watch] { answerWatch(*watch); });
            answerWatches();
        }

        void answerWatch(Watch& watch)
        {
            if (watch.isAnswered)
                return;
            watch.isAnswered = true;
            reply(*watch.exchange, 200,
                { { "rows", changesAfter(watch.exchange->query("table"), watch.after) }, { "ver", version_ },
                    { "nowMs", loop_.now() } });
        }

        void answerWatches()
        {
            for (const auto& watch : watches_) {
                if (!changesAfter(watch->exchange->query("table"), watch->after).empty())
                    answerWatch(*watch);
            }
            watches_.remove_if([](const auto& watch) { return watch->isAnswered; });
        }

        void transact(http::Exchange& exchange, const json& request)
        {
            for (const auto& condition : request.at("expectRev")) {
                const auto row = rows_.find({ condition.at("table"), condition.at("key") });
                const bool exists = row != rows_.end() && !row->second.isRemoved;
                if ((exists ? row->second.version : 0) != condition.at("ver").get<std::uint64_t>()) {
                    reply(exchange, 412, { { "ver", version_ }, { "rows", json::array() } });
                    return;
                }
            }
            ++version_;
            for (const auto& write : request.at("writes"))
                set({ write.at("table"), write.at("key") }, { write.at("value"), version_, false });
            for (const auto& removal : request.at("remove"))
                set({ removal.at("table"), removal.at("key") }, { "", version_, true });
            truth_.write(loop_.now(), { { "event", "tx" }, { "writes", request["writes"].size() } });
            if (faults_.consume("dropReplyNext"))
                exchange.abort();
            else
                reply(exchange, 200, { { "ver", version_ }, { "nowMs", loop_.now() } });
            answerWatches();
        }

        /// Comes back from an older copy, writes rows on behalf of the operator and the servers, discards the change
        /// history, or sets fault switches, in this order.
        void control(json request)
        {
            if (request.contains("restore"))
                restore(request["restore"].get<std::uint64_t>());
            for (const auto& put : request.value("put", json::array())) {
                set({ put.at("table"), put.at("key") },
                    { absl::Base64Escape(put.at("text").get<std::string>()), ++version_, false });
                truth_.write(loop_.now(), { { "event", "put" }, { "key", put["key"] }, { "ver", version_ } });
            }
            for (const auto& remove : request.value("remove", json::array())) {
                set({ remove.at("table"), remove.at("key") }, { "", ++version_, true });
                truth_.write(loop_.now(), { { "event", "remove" }, { "key", remove["key"] }, { "ver", version_ } });
            }
            if (request.value("compact", false)) {
                historyStart_ = ++version_;
                cutWatches();
            }
            answerWatches();
            for (const char* name : { "restore", "put", "remove", "compact" })
                request.erase(name);
            faults_.set(request);
        }

        loop::EventLoop& loop_;
        TruthLog truth_;
        Faults faults_;
        std::map<Name, Row> rows_;
        std::vector<std::pair<Name, Row>> history_; // in version order
        std::list<std::shared_ptr<Watch>> watches_;
        std::uint64_t version_ = 1;
        std::uint64_t historyStart_ = 0;
        std::uint64_t era_ = 1;
        std::uint64_t calls_ = 0; // calls received, including refused ones
    };

} // namespace

int runRowStore(const std::string& address, const std::string& truthPath, const json& faults)
{
    loop::EventLoop eventLoop;
    RowStore store(eventLoop, truthPath, faults);
    return serve(eventLoop, address, [&](const http::Exchange::Ptr& exchange) { store.handle(exchange); });
}

} // namespace standins
