#pragma once

#include "harness/Rig.h"

#include <algorithm>
#include <functional>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Callers that record every response they receive, and checks of those records against the truth logs of the
/// stand-ins.
namespace testing {

using goldcrestcleat::harness::Rig;

/// The responses to all calls with one idempotency key.
struct KeyRecord {
    std::string key;
    std::vector<int> statuses;
    std::vector<std::string> executed; ///< of the calls that failed; "broken" for a closed connection
    std::set<std::string> bodies; ///< of the successful calls
};

/// The response to one chat message.
struct ChatRecord {
    std::string text; ///< unique
    bool isComplete = false;
    bool isCorrect = false;
    std::string executed;
    int attempts = 0;
    std::string failure = {}; ///< of an incomplete answer: status, error code and the daemon's explanation
};

/// Returns the violations of at-most-once execution. `runs` returns how often the services ran the call with a key.
inline std::vector<std::string> checkKeys(
    const std::vector<KeyRecord>& records, const std::function<int(const std::string&)>& runs)
{
    std::vector<std::string> violations;
    for (const auto& record : records) {
        const int count = runs(record.key);
        if (count > 1)
            violations.push_back(record.key + " ran " + std::to_string(count) + " times");
        if (!record.bodies.empty() && count != 1)
            violations.push_back(record.key + " was answered but ran " + std::to_string(count) + " times");
        if (record.bodies.size() > 1)
            violations.push_back(record.key + " received different answers");
        const bool allNotExecuted = !record.executed.empty() && record.bodies.empty()
            && std::all_of(record.executed.begin(), record.executed.end(), [](const auto& e) { return e == "no"; });
        if (allNotExecuted && count != 0)
            violations.push_back(record.key + " was reported as not executed but ran");
    }
    return violations;
}

/// Returns the violations of the guarantees on chats: complete but wrong answers, and messages that were reported as
/// not executed although an engine started them, which `isStarted` returns for the text of a message.
inline std::vector<std::string> checkChats(
    const std::vector<ChatRecord>& records, const std::function<bool(const std::string&)>& isStarted)
{
    std::vector<std::string> violations;
    for (const auto& record : records) {
        if (record.isComplete && !record.isCorrect)
            violations.push_back(record.text + " received a complete but wrong answer");
        if (record.attempts == 1 && record.executed == "no" && isStarted(record.text))
            violations.push_back(record.text + " was reported as not executed but was started");
    }
    return violations;
}

/// Returns a violation for each decrease in a sequence of versions.
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

/// Sends chat messages and confirmations and records the responses. Thread-safe.
class Workload {
public:
    explicit Workload(Rig& rig)
        : rig_(rig)
    {
    }

    /// Sends a confirmation with one key to up to three VMs in turn, until one succeeds.
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

    /// Sends one message in a new chat. `explain` records the daemon's explanation if the answer is incomplete.
    void sendChat(int number, int daemon, bool explain = false)
    {
        ChatRecord record;
        record.text = "message " + std::to_string(number) + ".";
        record.attempts = 1;
        auto chat = rig_.chat("chat" + std::to_string(number));
        const std::string expected = chat.expectedAnswer(record.text, PARTS);
        const auto answer = chat.send(rig_.callerAddress(daemon), record.text, PARTS);
        record.isComplete = answer.isComplete;
        record.isCorrect = answer.text == expected;
        record.executed = answer.executed;
        if (!answer.isComplete && explain) {
            const auto explanation = rig_.admin(daemon, "GET", "/admin/explain?chat=chat" + std::to_string(number));
            record.failure = std::to_string(answer.status) + " code " + std::to_string(answer.errorCode) + " at "
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

} // namespace testing
