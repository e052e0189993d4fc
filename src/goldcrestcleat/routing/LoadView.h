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

/// What the view knows of one engine.
struct EngineEntry {
    NodeKey key = NO_NODE;
    std::string model;
    int maxRunning = 1;
    bool eligible = true; ///< live and not leaving
    int load = 0; ///< requests sent and not finished, as last heard
    loop::TimeMs loadAt = 0;
};

/// Loads of all engines, with the mean of each model kept up to date.
///
/// Only eligible engines count towards the mean and stand on the ring.
class LoadView {
public:
    explicit LoadView(loop::TimeMs meanWindowMs)
        : meanWindowMs_(meanWindowMs)
    {
    }

    /// Adds or changes an engine; its load is kept. Rebuilds the model's ring when eligibility changed.
    void putEngine(const EngineEntry& entry);

    void removeEngine(NodeKey key);

    /// Sets an engine's load; unknown engines are ignored. Complexity: amortized O(1).
    void setLoad(NodeKey key, int load, loop::TimeMs now);

    const EngineEntry* find(NodeKey key) const;

    /// Returns the mean load of the model's eligible engines; 0 without any.
    double mean(const std::string& model) const;

    /// Returns the lowest mean within the window that ends now.
    double lowestMean(const std::string& model, loop::TimeMs now) const;

    std::size_t eligibleCount(const std::string& model) const;

    /// Returns true when any engine, eligible or not, serves the model.
    bool knowsModel(const std::string& model) const;

    /// Returns the chat's first engine by hashing, or NO_NODE. Complexity: O(log n).
    NodeKey hashedEngine(const std::string& model, ChatKey chat) const;

    /// Returns the least loaded of `samples` random eligible engines that are not in `excluded`, or NO_NODE.
    ///
    /// Takes all engines into account when there are no more than `samples`. Complexity: O(samples + excluded).
    NodeKey leastLoaded(
        const std::string& model, const std::vector<NodeKey>& excluded, int samples, std::mt19937_64& random) const;

    /// Returns the keys of a model's eligible engines.
    std::vector<NodeKey> eligible(const std::string& model) const;

    /// Returns all entries, in no order.
    std::vector<EngineEntry> entries() const;

private:
    struct Model {
        std::vector<NodeKey> eligible;
        mutable HashRing ring; // built when it is first asked, since engines often change in groups
        mutable bool isRingStale = true;
        long long totalLoad = 0; // of the eligible engines
        std::deque<std::pair<loop::TimeMs, double>> minima; // rising means, oldest first
    };

    void rebuild(const std::string& model);
    void recordMean(Model& model, loop::TimeMs now);
    void checkInvariants(const Model& model) const;

    loop::TimeMs meanWindowMs_;
    std::unordered_map<NodeKey, EngineEntry> engines_;
    std::unordered_map<std::string, Model> models_;
};

} // namespace goldcrestcleat::routing
