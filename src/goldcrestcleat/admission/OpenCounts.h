#pragma once

#include <cassert>
#include <map>
#include <string>

namespace goldcrestcleat::admission {

/// Counts open requests by name, for example per workspace or per profile of a workspace.
class OpenCounts {
public:
    /// Counts one more open request and returns true, or returns false if `max` are already open.
    bool tryOpen(const std::string& name, int max)
    {
        int& count = counts_[name];
        if (count >= max)
            return false;
        ++count;
        ++total_;
        return true;
    }

    void close(const std::string& name)
    {
        const auto found = counts_.find(name);
        assert(found != counts_.end() && found->second > 0);
        if (--found->second == 0)
            counts_.erase(found);
        --total_;
        assert(total_ >= 0);
    }

    int total() const { return total_; }

private:
    std::map<std::string, int> counts_;
    int total_ = 0;
};

} // namespace goldcrestcleat::admission
