#include "goldcrestcleat/upstreams/ServerRegistry.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace goldcrestcleat;
using upstreams::ServerEntry;
using upstreams::ServerRegistry;

// Explores every sequence of what can become of one server's entry: leaving, vanishing, lapsing, a new start under the
// same id, and its address taken over by a server of another service. Others of its service stay.

namespace {

constexpr int DEPTH = 6;
constexpr loop::TimeMs LEAVES_MS = 2'000; // bound after which a server that left gets no request
constexpr loop::TimeMs SHORT_MS = 700;
constexpr loop::TimeMs LONG_MS = 3'000; // over all times that entries are kept

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

/// What may be done with the server, by the rules alone.
struct Model {
    enum class Listed { Ready, Leaving, Vanished, Lapsed };
    Listed listed = Listed::Ready;
    std::int64_t born = 1;
    loop::TimeMs removedAt = 0;
};

struct State {
    ServerRegistry book;
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
    ServerEntry entry = entryOf("x", "s", "10.0.0.9:80", state.model.born);
    entry.isLeaving = isLeaving;
    state.book.put(entry, state.now);
    state.model.listed = isLeaving ? Model::Listed::Leaving : Model::Listed::Ready;
}

void markRemoved(State& state, bool mayHaveExpired)
{
    const bool wasListed = state.model.listed == Model::Listed::Ready || state.model.listed == Model::Listed::Leaving;
    if (!wasListed)
        return;
    state.book.markRemoved({ "x" }, { mayHaveExpired, LEAVES_MS }, state.now);
    const bool lapsed = mayHaveExpired && state.model.listed == Model::Listed::Ready;
    state.model.listed = lapsed ? Model::Listed::Lapsed : Model::Listed::Vanished;
    state.model.removedAt = state.now;
}

const std::vector<Action>& actions()
{
    static const std::vector<Action> all = {
        { "is ready", [](State& s) { put(s, false); } },
        { "leaves", [](State& s) { put(s, true); } },
        { "vanishes", [](State& s) { markRemoved(s, false); } },
        { "vanishes while the store is away", [](State& s) { markRemoved(s, true); } },
        { "starts anew",
            [](State& s) {
                ++s.model.born;
                put(s, false);
            } },
        { "loses its address to another service",
            [](State& s) {
                s.book.put(entryOf("y", "other", "10.0.0.9:80", 1), s.now);
                s.isAddressTaken = true;
            } },
        { "some time passes", [](State& s) { s.now += SHORT_MS; } },
        { "much time passes", [](State& s) { s.now += LONG_MS; } },
    };
    return all;
}

bool isUsed(const State& state, const std::string& service, const std::string& id)
{
    const auto usable = state.book.usable(service, state.now);
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
        const bool used = isUsed(state, "s", "x");
        const loop::TimeMs goneMs = state.now - state.model.removedAt;
        switch (state.model.listed) {
        case Model::Listed::Ready:
            cr_assert(used, "%s: a ready server gets no work", path().c_str());
            break;
        case Model::Listed::Leaving:
        case Model::Listed::Vanished:
            cr_assert(!used, "%s: a server that left gets work", path().c_str());
            break;
        case Model::Listed::Lapsed:
            cr_assert(!used || goneMs < LEAVES_MS, "%s: a lapsed server gets work for too long", path().c_str());
        }
        cr_assert(!isUsed(state, "other", "x"), "%s: it serves another service", path().c_str());
        cr_assert_eq(
            isUsed(state, "other", "y"), state.isAddressTaken, "%s: the new owner of the address", path().c_str());
        cr_assert(isUsed(state, "s", "a") && isUsed(state, "s", "b"), "%s: servers beside it", path().c_str());
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

Test(server_search, a_server_that_left_gets_no_work_and_one_that_is_back_does)
{
    State state;
    for (const char* id : { "a", "b", "c" })
        state.book.put(entryOf(id, "s", std::string("10.0.0.1:") + id, 1), 0);
    put(state, false);
    Search search;
    search.explore(state, DEPTH);
    cr_assert_gt(search.states(), 100'000);
    std::printf("%zu states\n", search.states());
}
