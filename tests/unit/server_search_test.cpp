#include "goldcrestcleat/upstreams/ServerRegistry.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace goldcrestcleat;
using upstreams::ServerEntry;
using upstreams::ServerRegistry;

// Explores every sequence of changes of one server: leaving, as its entry states or as it announces in a response,
// removal, expiry, a restart under the same id, and the reuse of its address by a server of another service. The other
// servers of its service stay.

namespace {

constexpr int DEPTH = 6;
constexpr loop::TimeMs SHORT_MS = 700;
constexpr loop::TimeMs LONG_MS = 3'000; // longer than any time for which an entry is kept

ServerEntry entryOf(const std::string& id, const std::string& service, const std::string& address, std::int64_t born)
{
    ServerEntry entry;
    entry.id = id;
    entry.service = service;
    entry.address = address;
    entry.slots = 4;
    entry.startedAtMs = born;
    return entry;
}

/// Reference model: the state from which the rules alone decide whether the server may be used.
struct Model {
    enum class ListingState { Ready, Leaving, Removed, Expired };
    ListingState listing = ListingState::Ready;
    std::int64_t born = 1;
    std::int64_t announcedBorn = 0;

    bool hasAnnounced() const { return born == announcedBorn; }
};

constexpr const char* ADDRESS = "10.0.0.9:80";

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
    ServerEntry entry = entryOf("x", "s", ADDRESS, state.model.born);
    entry.isLeaving = isLeaving;
    state.registry.put(entry, state.now);
    state.model.listing = isLeaving ? Model::ListingState::Leaving : Model::ListingState::Ready;
}

void unlist(State& state, bool mayHaveExpired)
{
    const bool wasListed
        = state.model.listing == Model::ListingState::Ready || state.model.listing == Model::ListingState::Leaving;
    if (!wasListed)
        return;
    state.registry.markRemoved({ "x" }, mayHaveExpired, state.now);
    const bool isServing = state.model.listing == Model::ListingState::Ready && !state.model.hasAnnounced();
    const bool expired = mayHaveExpired && isServing;
    state.model.listing = expired ? Model::ListingState::Expired : Model::ListingState::Removed;
}

const std::vector<Action>& actions()
{
    static const std::vector<Action> all = {
        { "is ready", [](State& s) { put(s, false); } },
        { "leaves", [](State& s) { put(s, true); } },
        { "is removed", [](State& s) { unlist(s, false); } },
        { "is removed while the store is unavailable", [](State& s) { unlist(s, true); } },
        { "is missing for too long after the return of the store",
            [](State& s) {
                s.registry.giveUpExpired();
                if (s.model.listing == Model::ListingState::Expired)
                    s.model.listing = Model::ListingState::Removed;
            } },
        { "restarts",
            [](State& s) {
                ++s.model.born;
                put(s, false);
            } },
        { "announces that it leaves",
            [](State& s) {
                s.registry.markLeaving({ routing::nodeKey("x"), s.model.born, ADDRESS });
                s.model.announcedBorn = s.model.born;
            } },
        { "is reported by a peer to have left before its last start",
            [](State& s) {
                s.registry.markLeaving({ routing::nodeKey("x"), s.model.born - 1, ADDRESS });
            } },
        { "loses its address to another service",
            [](State& s) {
                s.registry.put(entryOf("y", "other", ADDRESS, 1), s.now);
                s.isAddressTaken = true;
            } },
        { "some time passes", [](State& s) { s.now += SHORT_MS; } },
        { "much time passes", [](State& s) { s.now += LONG_MS; } },
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
        const bool isServerUsable = isUsable(state, "s", "x");
        if (state.model.hasAnnounced())
            cr_assert(!isServerUsable, "%s: a server that announced that it leaves gets requests", path().c_str());
        switch (state.model.listing) {
        case Model::ListingState::Ready:
            cr_assert(
                isServerUsable || state.model.hasAnnounced(), "%s: a ready server gets no requests", path().c_str());
            break;
        case Model::ListingState::Leaving:
        case Model::ListingState::Removed:
            cr_assert(!isServerUsable, "%s: a server that left gets requests", path().c_str());
            break;
        case Model::ListingState::Expired:
            cr_assert(isServerUsable || state.model.hasAnnounced(),
                "%s: a server whose entry expired gets no requests before its entry can return", path().c_str());
        }
        cr_assert(!isUsable(state, "other", "x"), "%s: the server gets requests for another service", path().c_str());
        cr_assert_eq(isUsable(state, "other", "y"), state.isAddressTaken, "%s: the server that reuses the address",
            path().c_str());
        cr_assert(isUsable(state, "s", "a") && isUsable(state, "s", "b"), "%s: the other servers of the service",
            path().c_str());
    }

    std::string path() const
    {
        std::string text = "the server";
        for (const char* step : path_)
            text += std::string(" ") + step + ",";
        return text;
    }

    std::vector<const char*> path_;
    std::size_t states_ = 0;
};

} // namespace

Test(server_search, a_server_that_left_gets_no_requests_and_one_that_returned_does)
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
