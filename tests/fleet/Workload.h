#pragma once

#include "harness/Rig.h"

#include <algorithm>
#include <functional>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Callers that keep records of all they were told, and the checks of those records against the truth logs.
namespace proofs {

using goldcrestcleat::harness::Rig;

/// What callers were told about one idempotency key, over all their calls.
struct KeyRecord {
    std::string key;
    std::vector<int> statuses;
    std::vector<std::string> executed; ///< of the calls that were refused; "broken" for a lost connection
    std::set<std::string> bodies; ///< of the calls that succeeded
};

/// What a caller was told about one chat message.
struct ChatRecord {
    std::string text; ///< unique
    bool isComplete = false;
    bool isRight = false;
    std::string executed;
    int tries = 0;
    std::string why = {}; ///< of an answer that is not whole: status, code and the daemon's explanation
};

/// Returns the violations of the promises on calls that must not repeat. `runs` gives a key's runs at the services.
inline std::vector<std::string> checkKeys(
    const std::vector<KeyRecord>& records, const std::function<int(const std::string&)>& runs)
{
    std::vector<std::string> violations;
    for (const auto& record : records) {
        const int count = runs(record.key);
        if (count > 1)
            violations.push_back(record.key + " ran " + std::to_string(count) + " times");
        if (!record.bodies.empty() && count != 1)
            violations.push_back(record.key + " was answered and ran " + std::to_string(count) + " times");
        if (record.bodies.size() > 1)
            violations.push_back(record.key + " got different answers");
        const bool allNo = !record.executed.empty() && record.bodies.empty()
            && std::all_of(record.executed.begin(), record.executed.end(), [](const auto& e) { return e == "no"; });
        if (allNo && count != 0)
            violations.push_back(record.key + " was told as not run and ran");
    }
    return violations;
}

/// Returns the violations of the promises on chats. `starts` tells whether an engine began the message.
inline std::vector<std::string> checkChats(
    const std::vector<ChatRecord>& records, const std::function<bool(const std::string&)>& starts)
{
    std::vector<std::string> violations;
    for (const auto& record : records) {
        if (record.isComplete && !record.isRight)
            violations.push_back(record.text + " got an answer that is not its own");
        if (record.tries == 1 && record.executed == "no" && starts(record.text))
            violations.push_back(record.text + " was told as not run and was begun");
    }
    return violations;
}

/// Returns a violation for each step down in a sequence of versions.
inline std::vector<std::string> checkVersions(const std::string& name, const std::vector<int>& versions)
{
    std::vector<std::string> violations;
    for (std::size_t i = 1; i < versions.size(); ++i) {
        if (versions[i] < versions[i - 1])
            violations.push_back(
                name + " went from version " + std::to_string(versions[i - 1]) + " to " + std::to_string(versions[i]));
    }
    return violations;
}

/// Makes chats and confirmations and keeps what their callers were told; safe for use from several threads.
class Workload {
public:
    explicit Workload(Rig& rig)
        : rig_(rig)
    {
    }

    /// Confirms something with one key, at up to three VMs in turn until it is answered.
    void confirm(int number, int daemon)
    {
        KeyRecord record;
        record.key = "key" + std::to_string(number);
        for (int attempt = 0; attempt < 3 && record.bodies.empty(); ++attempt) {
            const auto answer
                = rig_.callService((daemon + attempt) % 5, "POST", "/confirm", record.key, "{}", CALL_TIMEOUT_MS);
            record.statuses.push_back(answer.status);
            if (answer.status == 200 && !answer.isBroken)
                record.bodies.insert(answer.body);
            else
                record.executed.push_back(answer.executed().empty() ? "broken" : answer.executed());
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        keys_.push_back(record);
    }

    /// Says one message in a chat of its own.
    void talk(int number, int daemon, bool explain = false)
    {
        ChatRecord record;
        record.text = "message " + std::to_string(number) + ".";
        record.tries = 1;
        auto chat = rig_.chat("chat" + std::to_string(number));
        const std::string expected = chat.expectedAnswer(record.text, PARTS);
        const auto answer = chat.send(rig_.callerAddress(daemon), record.text, PARTS);
        record.isComplete = answer.isComplete;
        record.isRight = answer.text == expected;
        record.executed = answer.executed;
        if (!answer.isComplete && explain) {
            const auto explanation = rig_.admin(daemon, "GET", "/admin/explain?chat=chat" + std::to_string(number));
            record.why = std::to_string(answer.status) + " code " + std::to_string(answer.errorCode) + " at "
                + Rig::vmId(daemon) + " " + explanation.body;
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        chats_.push_back(record);
    }

    const std::vector<KeyRecord>& keys() const { return keys_; }
    const std::vector<ChatRecord>& chats() const { return chats_; }

    static constexpr std::size_t PARTS = 10;

private:
    static constexpr int CALL_TIMEOUT_MS = 15'000;

    Rig& rig_;
    std::mutex mutex_;
    std::vector<KeyRecord> keys_;
    std::vector<ChatRecord> chats_;
};

} // namespace proofs
