#pragma once

#include "goldcrestcleat/http/Client.h"
#include "goldcrestcleat/loop/EventLoop.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Clients of the platform's services: the transactional table service and the list of VMs.
namespace goldcrestcleat::store {

/// A row of the table; the revision changes with each write.
struct Row {
    std::string key;
    nlohmann::json value;
    std::uint64_t revision = 0;
};

/// Revision that a row must have for a commit to be applied; 0 means that the row must not exist.
struct Condition {
    std::string key;
    std::uint64_t revision = 0;
};

/// Writes that are applied atomically if all conditions hold.
struct Commit {
    std::vector<Condition> conditions;
    std::vector<std::pair<std::string, nlohmann::json>> puts;
    std::vector<std::string> deletes;
};

enum class CommitOutcome {
    Committed,
    Conflict, ///< a condition did not hold
    NotSent, ///< definitely not applied
    Unknown ///< sent, but there was no valid reply
};

/// Asynchronous client of the table service; every call completes within the time-out.
class TableClient {
public:
    /// Receives the rows that exist, or nothing if the table can't be read.
    using ReadHook = std::function<void(const std::optional<std::vector<Row>>&)>;
    using CommitHook = std::function<void(CommitOutcome)>;

    TableClient(loop::EventLoop& loop, std::string address, loop::TimeMs timeoutMs);

    void get(const std::vector<std::string>& keys, ReadHook onDone);

    /// Reads up to `limit` rows, in key order, whose keys start with the prefix and follow `after`.
    void range(const std::string& prefix, const std::string& after, int limit, ReadHook onDone);

    void commit(const Commit& commit, CommitHook onDone);

    /// Total of bytes sent and received.
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

/// Performs one call, collects the response body, and reports its end or the time-out. `onHead` receives the head of
/// the response; it may be unset.
///
/// After a time-out, idle connections to the address are closed, since a network path that drops the packets of one
/// connection often drops those of the others too.
void callOnce(loop::EventLoop& loop, http::Client& client, const std::string& address, const http::Request& request,
    loop::TimeMs timeoutMs, http::Client::Reuse reuse,
    std::function<void(http::FailurePoint, int status, const std::string& body)> onDone,
    std::function<void(const Poco::Net::HTTPResponse&)> onHead = {});

} // namespace goldcrestcleat::store
