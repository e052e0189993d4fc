#pragma once

#include "goldcrestcleat/http/Server.h"
#include "goldcrestcleat/observe/Metrics.h"

#include <functional>
#include <memory>

namespace goldcrestcleat::gateway {

/// Serves `/metrics` and `/health` on the metrics listener.
class MetricsGateway {
public:
    /// `refresh` updates gauges before each response to `/metrics`; `isReady` determines the status of `/health`.
    MetricsGateway(loop::EventLoop& loop, const std::string& address, const observe::Metrics& metrics,
        std::function<void()> refresh, std::function<bool()> isReady);

    /// Counts the memory of requests together with that of the other listeners, and limits the connections.
    void limit(std::shared_ptr<http::InputMemory> memory, const http::ServerCapacity& capacity);

private:
    void onRequest(const http::Exchange::Ptr& exchange);

    const observe::Metrics& metrics_;
    std::function<void()> refresh_;
    std::function<bool()> isReady_;
    http::Server server_;
};

} // namespace goldcrestcleat::gateway
