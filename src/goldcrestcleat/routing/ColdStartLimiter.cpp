#include "goldcrestcleat/routing/ColdStartLimiter.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <iterator>

namespace goldcrestcleat::routing {

namespace {

    constexpr loop::TimeMs FORGETTING_PERIOD_MS = 60'000; // servers come and go over months

} // namespace

int ColdStartLimiter::Tolerance::shared() const { return static_cast<int>(std::floor(perWindow * overage)); }

void ColdStartLimiter::setDaemons(NodeKey self, std::vector<NodeKey> daemons)
{
    std::sort(daemons.begin(), daemons.end());
    if (self == self_ && daemons == daemons_)
        return;
    self_ = self;
    daemons_ = std::move(daemons);
    ranks_.clear();
    assert(daemons_.empty() || std::binary_search(daemons_.begin(), daemons_.end(), self_));
}

void ColdStartLimiter::pause(loop::TimeMs now)
{
    pausedUntil_ = now + SPACING_MS;
    starts_.clear();
}

int ColdStartLimiter::share(NodeKey server, const Tolerance& tolerance)
{
    const auto members = static_cast<int>(daemons_.size());
    if (members == 0)
        return 0;
    const int shared = tolerance.shared();
    const bool hasRemainder = static_cast<int>(rankOf(server)) < shared % members;
    return shared / members + (hasRemainder ? 1 : 0);
}

bool ColdStartLimiter::mayStart(NodeKey server, const Tolerance& tolerance, loop::TimeMs now)
{
    if (now < pausedUntil_)
        return false;
    return static_cast<int>(countRecent(server, now)) < share(server, tolerance);
}

void ColdStartLimiter::recordStart(NodeKey server, loop::TimeMs now)
{
    forgetOld(now);
    starts_[server].push_back(now);
}

// ---- private ----

/// Returns the number of daemons that rank before this one for a server.
std::size_t ColdStartLimiter::rankOf(NodeKey server)
{
    const auto known = ranks_.find(server);
    if (known != ranks_.end())
        return known->second;
    const auto own = rendezvousScore(server, self_);
    const auto isBefore = [&](NodeKey daemon) {
        const auto score = rendezvousScore(server, daemon);
        return score > own || (score == own && daemon < self_);
    };
    const auto rank = static_cast<std::size_t>(std::count_if(daemons_.begin(), daemons_.end(), isBefore));
    ranks_.emplace(server, rank);
    return rank;
}

/// Returns the number of requests started at a server in the last SPACING_MS, and forgets earlier ones.
std::size_t ColdStartLimiter::countRecent(NodeKey server, loop::TimeMs now)
{
    const auto found = starts_.find(server);
    if (found == starts_.end())
        return 0;
    auto& starts = found->second;
    while (!starts.empty() && starts.front() + SPACING_MS <= now)
        starts.pop_front();
    if (starts.empty()) {
        starts_.erase(found);
        return 0;
    }
    return starts.size();
}

/// Forgets servers that are probably gone.
void ColdStartLimiter::forgetOld(loop::TimeMs now)
{
    if (now - forgottenAt_ < FORGETTING_PERIOD_MS)
        return;
    forgottenAt_ = now;
    ranks_.clear();
    for (auto it = starts_.begin(); it != starts_.end();)
        it = it->second.back() + SPACING_MS <= now ? starts_.erase(it) : std::next(it);
}

} // namespace goldcrestcleat::routing
