#include "goldcrestcleat/upstreams/ServerRegistry.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace goldcrestcleat;
using upstreams::ServerEntry;
using upstreams::ServerRegistry;

// Exhaustive search over all sequences of events in the life of a server's entry: leaving, removal, expiry, a restart
// with the same id, and reuse of its address by a server of another service. Other servers of its service stay.

namespace {

constexpr int DEPTH = 6;
constexpr loop::TimeMs LEAVES_MS = 2'000; // after which a server that left must get no more requests
constexpr loop::TimeMs SHORT_MS = 700;
constexpr loop::TimeMs LONG_MS = 3'000; // longer than any retention of removed entries

ServerEntry entryOf(
    const std::string& id, const std::string& service, const std::string& address, std::int64_t startedAt)
{
    ServerEntry entry;
    entry.id = id;
    entry.service = service;
    entry.address = address;
    entry.slots = 4;
    entry.startedAtMs = startedAt;
    return entry;
}

/// Reference model: the state of the entry, from which the expected behaviour follows.
struct Model {
    enum class EntryState { Ready, Leaving, Removed, Expired };
    EntryState entryState = EntryState::Ready;
    std::int64_t startedAt = 1;
    loop::TimeMs removedAt = 0;
};

struct State {
    ServerRegistry registry;
    Model model;
    loop::TimeMs now = 0;
    bool isAddressTaken = false;
};

struct Action {
    const char* name;
    std::function<void(State&)> apply;
};

void put(State& state, bool isLeaving)
{
    ServerEntry entry = entryOf("x", "s", "10.0.0.9:80", state.model.startedAt);
    entry.isLeaving = isLeaving;
    state.registry.put(entry, state.now);
    state.model.entryState = isLeaving ? Model::EntryState::Leaving : Model::EntryState::Ready;
}

void markRemoved(State& state, bool mayHaveExpired)
{
    const bool wasListed
        = state.model.entryState == Model::EntryState::Ready || state.model.entryState == Model::EntryState::Leaving;
    if (!wasListed)
        return;
    state.registry.markRemoved({ "x" }, { mayHaveExpired, LEAVES_MS }, state.now);
    const bool hasExpired = mayHaveExpired && state.model.entryState == Model::EntryState::Ready;
    state.model.entryState = hasExpired ? Model::EntryState::Expired : Model::EntryState::Removed;
    state.model.removedAt = state.now;
}

const std::vector<Action>& actions()
{
    static const std::vector<Action> all = {
        { "becomes ready", [](State& s) { put(s, false); } },
        { "leaves", [](State& s) { put(s, true); } },
        { "is removed", [](State& s) { markRemoved(s, false); } },
        { "is removed while the store is unavailable", [](State& s) { markRemoved(s, true); } },
        { "restarts",
            [](State& s) {
                ++s.model.startedAt;
                put(s, false);
            } },
        { "loses its address to another service",
            [](State& s) {
                s.registry.put(entryOf("y", "other", "10.0.0.9:80", 1), s.now);
                s.isAddressTaken = true;
            } },
        { "stays for a short time", [](State& s) { s.now += SHORT_MS; } },
        { "stays for a long time", [](State& s) { s.now += LONG_MS; } },
    };
    return all;
}

bool isUsable(const State& state, const std::string& service, const std::string& id)
{
    const auto usable = state.registry.usable(service, state.now);
    return std::any_of(usable.begin(), usable.end(), [&](const auto* server) { return server->entry.id == id; });
}

class Search {
public:
    void explore(const State& state, int depth)
    {
        ++states_;
        check(state);
        if (depth == 0)
            return;
        for (const auto& action : actions()) {
            State next = state;
            action.apply(next);
            path_.push_back(action.name);
            explore(next, depth - 1);
            path_.pop_back();
        }
    }

    std::size_t states() const { return states_; }

private:
    void check(const State& state) const
    {
        const bool usable = isUsable(state, "s", "x");
        const loop::TimeMs sinceRemovalMs = state.now - state.model.removedAt;
        switch (state.model.entryState) {
        case Model::EntryState::Ready:
            cr_assert(usable, "%s: a ready server is not usable", path().c_str());
            break;
        case Model::EntryState::Leaving:
        case Model::EntryState::Removed:
            cr_assert(!usable, "%s: a server that left is usable", path().c_str());
            break;
        case Model::EntryState::Expired:
            cr_assert(
                !usable || sinceRemovalMs < LEAVES_MS, "%s: an expired server is usable for too long", path().c_str());
        }
        cr_assert(!isUsable(state, "other", "x"), "%s: it is usable for another service", path().c_str());
        cr_assert_eq(
            isUsable(state, "other", "y"), state.isAddressTaken, "%s: the server that took over its address", path().c_str());
        cr_assert(isUsable(state, "s", "a") && isUsable(state, "s", "b"),
            "%s: the other servers of its service are not usable", path().c_str());
    }

    std::string path() const
    {
        std::string text = "it";
        for (const char* step : path_)
            text += std::string(" ") + step + ",";
        return text;
    }

    std::vector<const char*> path_;
    std::size_t states_ = 0;
};

} // namespace

Test(server_search, a_server_that_left_is_not_usable_and_one_that_returned_is)
{
    State state;
    for (const char* id : { "a", "b", "c" })
        state.registry.put(entryOf(id, "s", std::string("10.0.0.1:") + id, 1), 0);
    put(state, false);
    Search search;
    search.explore(state, DEPTH);
    cr_assert_gt(search.states(), 100'000);
    std::printf("%zu states\n", search.states());
}
