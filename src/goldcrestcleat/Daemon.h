#pragma once

#include "goldcrestcleat/settings/Settings.h"

#include <memory>

/// Routes chat completions to model engines and service calls to services, from a fleet of cooperating daemons.
namespace goldcrestcleat {

/// The process of one entry VM, as run by `goldcrestcleat serve`.
class Daemon {
public:
    explicit Daemon(settings::Settings settings);
    ~Daemon();

    /// Opens the listeners and serves until a planned stop has completed; returns the exit code.
    ///
    /// Throws errors::Error with AddressInUse if a listener cannot be opened.
    int run();

    /// Begins a planned stop. Safe to call from a signal handler.
    void requestStop();

private:
    class Components;

    std::unique_ptr<Components> components_;
};

} // namespace goldcrestcleat
