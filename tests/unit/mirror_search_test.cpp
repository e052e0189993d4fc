#include "goldcrestcleat/store/TableMirror.h"

#include <criterion/criterion.h>

#include <set>

using namespace goldcrestcleat;
using store::RowChanges;
using store::TableMirror;
using store::VersionedRow;

// Explores every order in which two daemons can read a changing table and exchange changes with each other, where each
// message may be delayed, duplicated or lost, and the store may return from an older copy.

namespace {

constexpr int DEPTH = 13;
constexpr std::size_t MAX_PENDING = 2;

/// The changes of the table in an era, each of which makes one version. The second era begins with a copy of the first
/// and gives out the versions since again.
const std::vector<VersionedRow>& tableHistory(std::uint64_t era)
{
    static const std::vector<VersionedRow> first = { { "a", "1", 1, false }, { "b", "1", 2, false },
        { "a", "2", 3, false }, { "b", "", 4, true }, { "a", "", 5, true }, { "a", "3", 6, false } };
    static const std::vector<VersionedRow> second = { { "a", "1", 1, false }, { "b", "1", 2, false },
        { "a", "2", 3, false }, { "a", "4", 4, false }, { "b", "2", 5, false } };
    return era == 0 ? first : second;
}

constexpr std::uint64_t COPIED_VERSION = 3; // the newest one that both eras share

/// A message to a daemon: a full table or changes, from the store or the other daemon.
struct Message {
    int to = 0;
    std::uint64_t afterVersion = 0;
    RowChanges changes;

    std::string serialize() const
    {
        std::string t = std::to_string(to) + "e" + std::to_string(changes.era) + (changes.isComplete ? "F" : "C")
            + std::to_string(afterVersion) + "-" + std::to_string(changes.version) + ":";
        for (const auto& row : changes.rows)
            t += row.key + std::to_string(row.version) + ",";
        return t;
    }
};

struct State {
    std::uint64_t era = 0; // of the store
    std::uint64_t version = 2; // of the table
    TableMirror mirrors[2];
    std::vector<Message> pending;

    std::string serialize() const
    {
        std::string t = std::to_string(era) + "." + std::to_string(version);
        for (const auto& mirror : mirrors) {
            t += "|" + std::to_string(mirror.era()) + "." + std::to_string(mirror.version()) + ":";
            for (const auto& [key, row] : mirror.rows())
                t += key + std::to_string(row.version) + ",";
        }
        std::multiset<std::string> messages;
        for (const auto& message : pending)
            messages.insert(message.serialize());
        for (const auto& message : messages)
            t += "|" + message;
        return t;
    }
};

/// Returns the row of a key at a version; its version is 0 when the row did not exist yet.
VersionedRow rowAt(const std::string& key, std::uint64_t era, std::uint64_t version)
{
    VersionedRow row;
    for (const auto& change : tableHistory(era)) {
        if (change.key == key && change.version <= version)
            row = change;
    }
    return row;
}

RowChanges fullTable(std::uint64_t era, std::uint64_t version)
{
    RowChanges full { true, version, {}, era };
    for (const char* key : { "a", "b" }) {
        const VersionedRow row = rowAt(key, era, version);
        if (row.version > 0 && !row.isRemoved)
            full.rows.push_back(row);
    }
    return full;
}

RowChanges tableChanges(std::uint64_t era, std::uint64_t after, std::uint64_t version)
{
    RowChanges changes { false, version, {}, era };
    for (const char* key : { "a", "b" }) {
        const VersionedRow row = rowAt(key, era, version);
        if (row.version > after)
            changes.rows.push_back(row);
    }
    return changes;
}

/// Applies a message by the rule that daemons use for answers of the store and rows of peers.
void deliver(TableMirror& mirror, const Message& message)
{
    const RowChanges& changes = message.changes;
    if (changes.era > mirror.era() && changes.isComplete)
        mirror.restore(changes.rows, { changes.era, changes.version });
    else if (changes.era != mirror.era())
        return;
    else if (changes.isComplete)
        mirror.replace(message.changes.rows, message.changes.version);
    else if (mirror.version() >= message.afterVersion)
        mirror.apply(message.changes.rows, message.changes.version);
}

class Search {
public:
    void explore(const State& state, int depth)
    {
        if (depth == 0 || !visited_.insert(state.serialize() + "#" + std::to_string(depth)).second)
            return;
        ++states_;
        write(state, depth);
        restoreStore(state, depth);
        for (int daemon = 0; daemon < 2; ++daemon)
            send(state, daemon, depth);
        for (std::size_t i = 0; i < state.pending.size(); ++i)
            receive(state, i, depth);
    }

    std::size_t states() const { return states_; }

private:
    void write(const State& state, int depth)
    {
        if (state.version >= tableHistory(state.era).size())
            return;
        State next = state;
        ++next.version;
        explore(next, depth - 1);
    }

    void restoreStore(const State& state, int depth)
    {
        if (state.era > 0 || state.version < COPIED_VERSION)
            return;
        State next = state;
        next.era = 1;
        next.version = COPIED_VERSION;
        explore(next, depth - 1);
    }

    void send(const State& state, int daemon, int depth)
    {
        if (state.pending.size() >= MAX_PENDING)
            return;
        const TableMirror& mirror = state.mirrors[daemon];
        const TableMirror& other = state.mirrors[1 - daemon];
        std::vector<Message> messages = { { daemon, 0, fullTable(state.era, state.version) } };
        if (mirror.isLoaded() && mirror.era() == state.era)
            messages.push_back({ daemon, mirror.version(), tableChanges(state.era, mirror.version(), state.version) });
        if (other.isLoaded()) {
            const std::uint64_t after = other.era() == mirror.era() ? mirror.version() : 0;
            messages.push_back({ daemon, after, other.changesAfter(after) });
        }
        for (const auto& message : messages) {
            State next = state;
            next.pending.push_back(message);
            explore(next, depth - 1);
        }
    }

    void receive(const State& state, std::size_t index, int depth)
    {
        State next = state;
        const Message message = next.pending[index];
        TableMirror& mirror = next.mirrors[message.to];
        const auto before = mirror.state();
        deliver(mirror, message);
        lastStep_ = state.serialize() + " then " + message.serialize();
        check(mirror, before);
        explore(next, depth - 1); // the message may be duplicated
        next.pending.erase(next.pending.begin() + static_cast<std::ptrdiff_t>(index));
        explore(next, depth - 1);
        State lost = state;
        lost.pending.erase(lost.pending.begin() + static_cast<std::ptrdiff_t>(index));
        explore(lost, depth - 1);
    }

    void check(const TableMirror& mirror, const store::StateVersion& before) const
    {
        cr_assert(before <= mirror.state(), "the state of a mirror decreased: %s", lastStep_.c_str());
        for (const auto& [key, row] : mirror.rows()) {
            // A full table implies a removal without giving its version.
            const VersionedRow expected = rowAt(key, mirror.era(), row.version);
            const bool isSame = expected.value == row.value && expected.version == row.version && !expected.isRemoved;
            cr_assert(
                row.isRemoved ? expected.version == 0 || expected.isRemoved || expected.version <= row.version : isSame,
                "%s differs from its state at version %llu: %s", key.c_str(),
                static_cast<unsigned long long>(row.version), lastStep_.c_str());
        }
        for (const char* key : { "a", "b" }) {
            const VersionedRow expected = rowAt(key, mirror.era(), mirror.version());
            const auto row = mirror.rows().find(key);
            const bool exists = row != mirror.rows().end() && !row->second.isRemoved;
            const bool isNewer = row != mirror.rows().end() && row->second.version > mirror.version();
            cr_assert(isNewer || exists == (expected.version > 0 && !expected.isRemoved),
                "%s is %spresent at version %llu", key, exists ? "" : "not ",
                static_cast<unsigned long long>(mirror.version()));
        }
    }

    std::set<std::string> visited_;
    std::string lastStep_; // the state before the last message, and the message
    std::size_t states_ = 0;
};

} // namespace

Test(mirror_search, no_order_of_messages_reverts_or_corrupts_a_mirror)
{
    Search search;
    search.explore(State(), DEPTH);
    cr_assert_gt(search.states(), 10'000);
    std::printf("%zu states\n", search.states());
}
