#pragma once

#include "goldcrestcleat/settings/Settings.h"

#include <memory>

/// A router fleet for very many returning chats.
namespace goldcrestcleat {

/// One entry VM's process: everything that `goldcrestcleat serve` runs.
class Daemon {
public:
    explicit Daemon(settings::Settings settings);
    ~Daemon();

    /// Opens the listeners and serves until a planned stop has ended; returns the exit code.
    ///
    /// Throws errors::Error with AddressInUse when a listener can't be opened.
    int run();

    /// Begins a planned stop. Safe to call from a signal handler.
    void requestStop();

private:
    class Parts;

    std::unique_ptr<Parts> parts_;
};

} // namespace goldcrestcleat
