#pragma once

#include "goldcrestcleat/loop/EventLoop.h"
#include "goldcrestcleat/routing/HashRing.h"
#include "goldcrestcleat/routing/Keys.h"

#include <deque>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestcleat::routing {

/// State of one engine in the load view.
struct EngineEntry {
    NodeKey key = NO_NODE;
    std::string model;
    int maxRunning = 1;
    bool eligible = true; ///< live and not leaving
    int load = 0; ///< requests sent and not finished, as last reported
    loop::TimeMs loadUpdatedAt = 0;
};

/// Loads of all engines, with an incrementally updated mean per model.
///
/// Only eligible engines count towards the mean and are on the model's hash ring.
class LoadView {
public:
    explicit LoadView(loop::TimeMs meanWindowMs)
        : meanWindowMs_(meanWindowMs)
    {
    }

    /// Adds or updates an engine; a known engine keeps its load. Invalidates the model's ring if the model or
    /// eligibility changed.
    void putEngine(const EngineEntry& entry);

    void removeEngine(NodeKey key);

    /// Sets an engine's load; unknown engines are ignored. Complexity: amortized O(1).
    void setLoad(NodeKey key, int load, loop::TimeMs now);

    const EngineEntry* find(NodeKey key) const;

    /// Returns the mean load of the model's eligible engines, or 0 if there are none.
    double mean(const std::string& model) const;

    /// Returns the lowest mean load within the window that ends at `now`.
    double lowestMean(const std::string& model, loop::TimeMs now) const;

    std::size_t eligibleCount(const std::string& model) const;

    /// Returns true if any engine, eligible or not, serves the model.
    bool hasModel(const std::string& model) const;

    /// Returns the engine that the chat maps to on the model's hash ring, or NO_NODE. Complexity: O(log n).
    NodeKey hashedEngine(const std::string& model, ChatKey chat) const;

    /// Returns the least loaded of `samples` random eligible engines that are not in `excluded`, or NO_NODE.
    ///
    /// Considers all eligible engines if there are at most `samples`. Complexity: O(samples + excluded).
    NodeKey leastLoaded(
        const std::string& model, const std::vector<NodeKey>& excluded, int samples, std::mt19937_64& random) const;

    /// Returns the keys of a model's eligible engines.
    std::vector<NodeKey> eligible(const std::string& model) const;

    /// Returns all entries in unspecified order.
    std::vector<EngineEntry> entries() const;

private:
    struct Model {
        std::vector<NodeKey> eligible;
        mutable HashRing ring; // built on first use, since engines often change in batches
        mutable bool isRingStale = true;
        long long totalLoad = 0; // of the eligible engines
        std::deque<std::pair<loop::TimeMs, double>> minima; // of the mean: increasing values, oldest first
    };

    void rebuild(const std::string& model);
    void recordMean(Model& model, loop::TimeMs now);
    void checkInvariants(const Model& model) const;

    loop::TimeMs meanWindowMs_;
    std::unordered_map<NodeKey, EngineEntry> engines_;
    std::unordered_map<std::string, Model> models_;
};

} // namespace goldcrestcleat::routing
