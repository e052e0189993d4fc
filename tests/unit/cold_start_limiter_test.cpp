#include "goldcrestcleat/routing/ColdStartLimiter.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <random>
#include <string>

using namespace goldcrestcleat;
using loop::TimeMs;
using routing::ColdStartLimiter;
using routing::NodeKey;

namespace {

constexpr NodeKey SERVER = 77;

std::vector<NodeKey> daemonKeys(int count)
{
    std::vector<NodeKey> keys;
    for (int i = 0; i < count; ++i)
        keys.push_back(routing::nodeKey("vm" + std::to_string(i)));
    return keys;
}

/// One daemon of the search: it starts a request at the cold server whenever its limiter lets it.
struct Daemon {
    ColdStartLimiter limiter;
    TimeMs clockOffset = 0;
    TimeMs downUntil = 0; // killed, suspended or frozen
    bool wasSuspended = false;
    std::vector<TimeMs> unsent; // when the started requests will be sent
};

struct Search {
    std::vector<NodeKey> keys;
    ColdStartLimiter::Tolerance tolerance;
    int missing = 0; // members that each daemon may not know, other than itself
    std::mt19937 random;
    std::vector<Daemon> daemons;
    std::vector<TimeMs> sends;

    int draw(int bound) { return std::uniform_int_distribution<int>(0, bound)(random); }

    std::vector<NodeKey> viewOf(std::size_t self)
    {
        std::vector<NodeKey> view = keys;
        for (int i = draw(missing); i > 0; --i) {
            const auto position = static_cast<std::size_t>(draw(static_cast<int>(view.size()) - 1));
            if (view[position] != keys[self])
                view.erase(view.begin() + static_cast<std::ptrdiff_t>(position));
        }
        return view;
    }

    void start()
    {
        daemons.resize(keys.size());
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            daemons[i].clockOffset = draw(100'000);
            daemons[i].limiter.pause(daemons[i].clockOffset);
            daemons[i].limiter.setDaemons(keys[i], viewOf(i));
        }
    }

    /// Kills, suspends (its clock stands still) or freezes (its clock goes on) a daemon, or changes what it lists.
    void disturb(std::size_t i, TimeMs now)
    {
        constexpr TimeMs MIN_DETECTED_MS = loop::EventLoop::LATE_ITERATION_MS + 1;
        Daemon& daemon = daemons[i];
        switch (draw(3)) {
        case 0:
            daemon.unsent.clear();
            daemon.limiter = ColdStartLimiter();
            daemon.limiter.pause(now + daemon.clockOffset);
            daemon.limiter.setDaemons(keys[i], viewOf(i));
            break;
        case 1:
            daemon.downUntil = now + MIN_DETECTED_MS + draw(3'000);
            daemon.clockOffset -= daemon.downUntil - now;
            break;
        case 2:
            daemon.downUntil = now + MIN_DETECTED_MS + draw(3'000);
            daemon.wasSuspended = true;
            break;
        default:
            daemon.limiter.setDaemons(keys[i], viewOf(i));
        }
    }

    void step(std::size_t i, TimeMs now)
    {
        Daemon& daemon = daemons[i];
        if (now < daemon.downUntil)
            return;
        if (daemon.wasSuspended) {
            daemon.wasSuspended = false;
            daemon.limiter.pause(now + daemon.clockOffset);
        }
        for (auto it = daemon.unsent.begin(); it != daemon.unsent.end();) {
            if (*it <= now)
                sends.push_back(now);
            it = *it <= now ? daemon.unsent.erase(it) : it + 1;
        }
        while (daemon.limiter.mayStart(SERVER, tolerance, now + daemon.clockOffset)) {
            daemon.limiter.recordStart(SERVER, now + daemon.clockOffset);
            daemon.unsent.push_back(now + draw(static_cast<int>(ColdStartLimiter::MAX_SEND_DELAY_MS) - STEP_MS));
        }
    }

    /// Returns the largest number of requests sent within one window.
    int run(TimeMs durationMs)
    {
        start();
        for (TimeMs now = 0; now < durationMs; now += STEP_MS) {
            for (std::size_t i = 0; i < daemons.size(); ++i) {
                if (draw(1'000) == 0)
                    disturb(i, now);
                step(i, now);
            }
        }
        std::sort(sends.begin(), sends.end());
        std::ptrdiff_t most = 0;
        for (auto first = sends.begin(); first != sends.end(); ++first) {
            const auto end = std::lower_bound(first, sends.end(), *first + ColdStartLimiter::WINDOW_MS);
            most = std::max(most, end - first);
        }
        return static_cast<int>(most);
    }

    static constexpr int STEP_MS = 10;
};

} // namespace

/// Answers the return of a data centre whose servers are all cold: every daemon has requests for each of them, and the
/// daemons differ in how many they take themselves to be, are killed, suspended and frozen.
Test(cold_start_limiter, all_daemons_together_keep_to_the_limit_of_a_cold_server, .timeout = 120)
{
    struct Case {
        int daemons;
        int missing;
    };
    for (const Case c : { Case { 5, 1 }, Case { 23, 0 }, Case { 23, 5 }, Case { 81, 5 }, Case { 330, 5 } }) {
        for (unsigned seed = 1; seed <= 6; ++seed) {
            Search search { daemonKeys(c.daemons), { 11, 1.5 }, c.missing, std::mt19937(seed), {}, {} };
            const int shared = search.tolerance.shared();
            const int known = c.daemons - c.missing;
            const int bound = c.daemons >= shared ? shared + c.missing : c.daemons * ((shared + known - 1) / known);
            const int most = search.run(20'000);
            cr_assert_leq(most, bound, "%d daemons, seed %u: %d requests in a window", c.daemons, seed, most);
            cr_assert_geq(most, shared / 2, "%d daemons, seed %u: the server stays empty", c.daemons, seed);
        }
    }
}

Test(cold_start_limiter, the_shares_of_daemons_that_agree_add_up_to_what_the_server_tolerates)
{
    for (const int count : { 1, 2, 5, 16, 17, 81, 330 }) {
        const auto keys = daemonKeys(count);
        for (const NodeKey server : { 1U, 2U, 3U }) {
            int sum = 0;
            for (const NodeKey self : keys) {
                ColdStartLimiter limiter;
                limiter.setDaemons(self, keys);
                sum += limiter.share(server, { 11, 1.5 });
            }
            cr_assert_eq(sum, 16, "%d daemons", count);
        }
    }
}

Test(cold_start_limiter, an_unused_share_is_not_saved_up)
{
    ColdStartLimiter limiter;
    limiter.setDaemons(1, { 1 });
    constexpr ColdStartLimiter::Tolerance TWO { 2, 1 };
    int started = 0;
    for (; limiter.mayStart(SERVER, TWO, 60'000) && started < 10; ++started)
        limiter.recordStart(SERVER, 60'000);
    cr_assert_eq(started, 2);
    cr_assert(!limiter.mayStart(SERVER, TWO, 60'000 + ColdStartLimiter::SPACING_MS - 1));
    cr_assert(limiter.mayStart(SERVER, TWO, 60'000 + ColdStartLimiter::SPACING_MS));
}

Test(cold_start_limiter, nothing_is_started_before_the_daemons_are_known_and_after_a_pause)
{
    ColdStartLimiter limiter;
    constexpr ColdStartLimiter::Tolerance TWO { 2, 1 };
    cr_assert(!limiter.mayStart(SERVER, TWO, 10'000));
    limiter.setDaemons(1, { 1 });
    cr_assert(limiter.mayStart(SERVER, TWO, 10'000));
    limiter.pause(10'000);
    cr_assert(!limiter.mayStart(SERVER, TWO, 10'000 + ColdStartLimiter::SPACING_MS - 1));
}

Test(cold_start_limiter, a_server_that_tolerates_less_than_one_request_gets_none)
{
    ColdStartLimiter limiter;
    limiter.setDaemons(1, { 1 });
    cr_assert(!limiter.mayStart(SERVER, { 0.4, 1.5 }, 10'000));
}
