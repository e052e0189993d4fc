#include "goldcrestcleat/store/TableClient.h"

namespace goldcrestcleat::store {

using nlohmann::json;

namespace {

    constexpr std::size_t MAX_ANSWER_BYTES = 8 * 1024 * 1024;

    std::vector<Row> parseRows(const std::string& body)
    {
        std::vector<Row> rows;
        const json document = json::parse(body);
        for (const auto& row : document.at("rows"))
            rows.push_back({ row.at("key"), row.at("value"), row.at("revision") });
        return rows;
    }

    json toJson(const Commit& commit)
    {
        json document = { { "if", json::array() }, { "put", json::array() }, { "delete", commit.deletes } };
        for (const Condition& c : commit.conditions)
            document["if"].push_back({ { "key", c.key }, { "revision", c.revision } });
        for (const auto& [key, value] : commit.puts)
            document["put"].push_back({ { "key", key }, { "value", value } });
        return document;
    }

    /// State of a call that has not completed.
    struct PendingCall {
        http::Call::Ptr call;
        loop::EventLoop::TimerId timer = 0;
        int status = 0;
        std::string body;
        bool done = false;
    };

} // namespace

void callOnce(loop::EventLoop& loop, http::Client& client, const std::string& address, const http::Request& request,
    loop::TimeMs timeoutMs, http::Client::Reuse reuse,
    std::function<void(http::FailurePoint, int status, const std::string& body)> onDone,
    std::function<void(const Poco::Net::HTTPResponse&)> onHead)
{
    const auto pending = std::make_shared<PendingCall>();
    const auto finish = [&loop, pending, onDone = std::move(onDone)](http::FailurePoint point, int status) {
        if (pending->done)
            return;
        pending->done = true;
        loop.cancel(pending->timer);
        const auto call = std::move(pending->call); // ends the reference cycle after this hook
        onDone(point, status, pending->body);
    };
    http::Call::Hooks hooks;
    hooks.onHead = [pending, onHead = std::move(onHead)](const Poco::Net::HTTPResponse& head) {
        pending->status = head.getStatus();
        if (onHead)
            onHead(head);
    };
    hooks.onBody = [pending](std::string_view part) { pending->body.append(part); };
    hooks.onEnd = [pending, finish] { finish(http::FailurePoint::ResponseStarted, pending->status); };
    hooks.onFailure = [finish](http::FailurePoint point, const std::string&) { finish(point, 0); };
    pending->call = client.start(address, request, std::move(hooks), reuse);
    pending->timer = loop.after(timeoutMs, [pending, finish, &client, address] {
        if (pending->call)
            pending->call->cancel();
        client.dropIdle(address);
        finish(http::FailurePoint::Sent, 0);
    });
}

TableClient::TableClient(loop::EventLoop& loop, std::string address, loop::TimeMs timeoutMs)
    : loop_(loop)
    , address_(std::move(address))
    , timeoutMs_(timeoutMs)
    , client_(loop, { 16 * 1024, MAX_ANSWER_BYTES })
{
}

void TableClient::get(const std::vector<std::string>& keys, ReadHook onDone)
{
    read("/v1/get", { { "keys", keys } }, std::move(onDone));
}

void TableClient::range(const std::string& prefix, const std::string& after, int limit, ReadHook onDone)
{
    read("/v1/range", { { "prefix", prefix }, { "after", after }, { "limit", limit } }, std::move(onDone));
}

void TableClient::commit(const Commit& commit, CommitHook onDone)
{
    post("/v1/commit", toJson(commit), [onDone = std::move(onDone)](bool wasSent, int status, const std::string& body) {
        if (status == 200) {
            const json reply = json::parse(body, nullptr, false);
            if (reply.is_object() && reply.contains("committed")) {
                onDone(reply["committed"] == true ? CommitOutcome::Committed : CommitOutcome::Conflict);
                return;
            }
        }
        onDone(wasSent ? CommitOutcome::Unknown : CommitOutcome::NotSent);
    });
}

// ---- private ----

void TableClient::read(const std::string& target, const json& body, ReadHook onDone)
{
    post(target, body, [onDone = std::move(onDone)](bool, int status, const std::string& reply) {
        if (status != 200) {
            onDone(std::nullopt);
            return;
        }
        std::optional<std::vector<Row>> rows;
        try {
            rows = parseRows(reply);
        } catch (const json::exception&) {
            rows.reset();
        }
        onDone(rows);
    });
}

void TableClient::post(const std::string& target, const json& body, ReplyHook onReply)
{
    http::Request request;
    request.method = "POST";
    request.target = target;
    request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    callOnce(loop_, client_, address_, request, timeoutMs_, http::Client::Reuse::Allowed,
        [onReply = std::move(onReply)](http::FailurePoint point, int status, const std::string& reply) {
            onReply(point != http::FailurePoint::NotSent, status, reply);
        });
}

} // namespace goldcrestcleat::store
