#include "goldcrestcleat/gateway/MetricsGateway.h"

#include "goldcrestcleat/requests/ErrorResponse.h"

namespace goldcrestcleat::gateway {

using errors::ResultCode;

MetricsGateway::MetricsGateway(loop::EventLoop& loop, const std::string& address, const observe::Metrics& metrics,
    std::function<void()> refresh, std::function<bool()> isReady)
    : metrics_(metrics)
    , refresh_(std::move(refresh))
    , isReady_(std::move(isReady))
    , server_(
          loop, address, {}, {}, [this](const http::Exchange::Ptr& exchange) { onRequest(exchange); },
          [](const http::Exchange::Ptr& exchange, ResultCode code, const std::string& context) {
              requests::refuse(*exchange, { code, context, std::nullopt, 0, false }, "");
          })
{
}

void MetricsGateway::limit(std::shared_ptr<http::InputMemory> memory, const http::ServerCapacity& capacity)
{
    server_.shareInputMemory(std::move(memory));
    server_.setCapacity(capacity);
}

void MetricsGateway::onRequest(const http::Exchange::Ptr& exchange)
{
    if (exchange->path() == "/metrics") {
        refresh_();
        exchange->reply(200, { { "Content-Type", "text/plain; version=0.0.4" } }, metrics_.text());
    } else if (exchange->path() == "/health") {
        const bool isReady = isReady_();
        exchange->reply(isReady ? 200 : 503, { { "Content-Type", "application/json" } },
            isReady ? R"({"ready":true})" : R"({"ready":false})");
    } else {
        requests::refuse(*exchange, { ResultCode::UnknownPath, exchange->path(), std::nullopt, 0, false }, "");
    }
}

} // namespace goldcrestcleat::gateway
