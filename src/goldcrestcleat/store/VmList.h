#pragma once

#include "goldcrestcleat/http/Client.h"
#include "goldcrestcleat/loop/EventLoop.h"

#include <functional>
#include <string>
#include <vector>

namespace goldcrestcleat::store {

enum class VmState { Live, Leaving };

/// An entry of the platform's list of VMs, which lags behind the actual state.
struct VmEntry {
    std::string id;
    VmState state = VmState::Live;
    std::uint64_t incarnation = 0; ///< increases when a VM is replaced or restarted
    std::string kind; ///< "entry", "engine" or "service"
    std::string address; ///< of a new upstream; may be empty for a known one
    std::string dataCentre;
    std::string model; ///< of engines
    std::string service; ///< of services
    std::string peer; ///< of entry VMs
};

/// Polls the platform's list of VMs and reports each change.
class VmListWatcher {
public:
    using ChangeHook = std::function<void(const std::vector<VmEntry>&)>;

    VmListWatcher(loop::EventLoop& loop, std::string address, loop::TimeMs timeoutMs, ChangeHook onChange);

    void start();

    std::uint64_t bytes() const { return client_.bytesIn() + client_.bytesOut(); }

    /// Returns the time of the last answer, or 0 before the first one.
    loop::TimeMs lastAnswerAt() const { return lastAnswerAt_; }

private:
    void poll();
    void onAnswer(int status, const std::string& body);

    loop::EventLoop& loop_;
    std::string address_;
    loop::TimeMs timeoutMs_;
    ChangeHook onChange_;
    http::Client client_;
    std::uint64_t knownRevision_ = 0;
    loop::TimeMs lastAnswerAt_ = 0;
};

} // namespace goldcrestcleat::store
