#pragma once

#include "goldcrestcleat/http/Client.h"
#include "goldcrestcleat/loop/EventLoop.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Clients of the platform: the transactional table service and the list of VMs.
namespace goldcrestcleat::store {

/// A row of the table; the revision changes with each write.
struct Row {
    std::string key;
    nlohmann::json value;
    std::uint64_t revision = 0;
};

/// A row must have this revision when a commit is applied; 0 means that it must be absent.
struct Condition {
    std::string key;
    std::uint64_t revision = 0;
};

/// Several writes that are applied together or not at all.
struct Commit {
    std::vector<Condition> conditions;
    std::vector<std::pair<std::string, nlohmann::json>> puts;
    std::vector<std::string> deletes;
};

enum class CommitOutcome {
    Committed,
    Conflict, ///< a condition did not hold
    NotSent, ///< certainly not applied
    Unknown
}; ///< sent, and the reply was lost

/// Asynchronous access to the table service; every call ends within the time-out.
class TableClient {
public:
    /// Rows that exist, or nothing when the table can't be read.
    using ReadHook = std::function<void(const std::optional<std::vector<Row>>&)>;
    using CommitHook = std::function<void(CommitOutcome)>;

    TableClient(loop::EventLoop& loop, std::string address, loop::TimeMs timeoutMs);

    void get(const std::vector<std::string>& keys, ReadHook onDone);

    /// Reads up to `limit` rows whose keys begin with the prefix and come after `after`, in key order.
    void range(const std::string& prefix, const std::string& after, int limit, ReadHook onDone);

    void commit(const Commit& commit, CommitHook onDone);

    /// Bytes sent and received.
    std::uint64_t bytes() const { return client_.bytesIn() + client_.bytesOut(); }

private:
    using ReplyHook = std::function<void(bool wasSent, int status, const std::string& body)>; // status 0: no reply

    void post(const std::string& target, const nlohmann::json& body, ReplyHook onReply);
    void read(const std::string& target, const nlohmann::json& body, ReadHook onDone);

    loop::EventLoop& loop_;
    std::string address_;
    loop::TimeMs timeoutMs_;
    http::Client client_;
};

/// Runs one call to its end or to a time-out, and collects the answer.
///
/// After a time-out, idle connections to the address are dropped, since a path that swallows one
/// connection's bytes has often lost the others too.
void callOnce(loop::EventLoop& loop, http::Client& client, const std::string& address, const http::Request& request,
    loop::TimeMs timeoutMs, http::Client::Reuse reuse,
    std::function<void(http::FailurePoint, int status, const std::string& body)> onDone);

} // namespace goldcrestcleat::store
