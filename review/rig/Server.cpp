#include "Rig.h"

#include <sys/socket.h>
#include <unistd.h>

#include <random>

namespace review {

using nlohmann::json;

namespace {

    constexpr std::int64_t HEARTBEAT_MS = 1'200;
    constexpr std::int64_t SILENT_HEARTBEATS = 3; // after which an entry is removed
    constexpr std::int64_t STEP_MS = 5;
    constexpr std::int64_t CRASH_DELAY_MS = 30; // from the head of an answer to the crash
    constexpr std::int64_t IDLE_S = 30; // advertised; this server never closes an idle connection sooner

    std::string randomHex()
    {
        static std::mt19937_64 random(std::random_device {}());
        static std::mutex mutex;
        const std::lock_guard<std::mutex> lock(mutex);
        char text[17];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
        return text;
    }

} // namespace

std::string newRequestId() { return randomHex(); }

Server::Server(Record& record, Store& store, std::string name, Settings settings, Handler handler)
    : record_(record)
    , store_(store)
    , name_(std::move(name))
    , settings_(std::move(settings))
    , handler_(std::move(handler))
    , address_(newAddress())
{
    startAt_ = nowMs() + 1;
    thread_ = std::thread([this] { run(); });
    while (!isUp_)
        sleepMs(STEP_MS);
}

Server::~Server()
{
    isStopping_ = true;
    isUp_ = false;
    thread_.join();
    stopConnections();
    while (open_ > 0)
        sleepMs(STEP_MS);
}

std::string Server::id() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return id_;
}

void Server::crash(std::int64_t downMs)
{
    if (!isUp_.exchange(false))
        return;
    startAt_ = nowMs() + downMs;
    stopListening();
    stopConnections();
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        expiring_.emplace_back(nowMs() + SILENT_HEARTBEATS * HEARTBEAT_MS, id_);
    }
    record_.line(name_ + " crashes");
}

std::int64_t Server::unregister()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    isRegistered_ = false;
    const std::int64_t at = store_.remove("servers", id_);
    record_.line(name_ + ": its entry is removed from the store");
    return at;
}

void Server::exit()
{
    isUp_ = false;
    stopListening();
    stopConnections();
    record_.line(name_ + " exits");
}

bool Server::sleepWhileAlive(int incarnation, std::int64_t ms) const
{
    const std::int64_t endAt = nowMs() + ms;
    while (isAlive(incarnation)) {
        if (nowMs() >= endAt)
            return true;
        sleepMs(std::min(STEP_MS, endAt - nowMs() + 1));
    }
    return false;
}

Fields Server::sealedFields(const Arrival& arrival) const
{
    return { { "Request-Id", arrival.id }, { "Server-Seal", "seal-of-" + id() },
        { "Keep-Alive", "timeout=" + std::to_string(IDLE_S) } };
}

bool Server::reply(Arrival& arrival, const std::string& status, Fields fields, const std::string& body)
{
    fields.emplace_back("Content-Length", std::to_string(body.size()));
    return arrival.socket.send(serialize("HTTP/1.1 " + status, fields, body));
}

bool Server::shed(Arrival& arrival)
{
    record_.line(name_ + " sheds " + arrival.id);
    return reply(arrival, "503 Service Unavailable", { { "Not-Executed", "1" }, { "Request-Id", arrival.id } }, "");
}

bool Server::beginAndCrash(Arrival& arrival, std::int64_t downMs)
{
    arrival.socket.send(streamHead(sealedFields(arrival)));
    if (sleepWhileAlive(arrival.incarnation, CRASH_DELAY_MS))
        crash(downMs);
    return false;
}

bool Server::stream(Arrival& arrival, int events, const std::function<std::int64_t(int event)>& pauseMs)
{
    const std::string lastEvent = arrival.request.field("Last-Event-Id");
    const int first = lastEvent.empty() ? 1 : std::stoi(lastEvent) + 1;
    for (int event = first; event <= events; ++event) {
        if (!sleepWhileAlive(arrival.incarnation, pauseMs(event)))
            return false;
        const std::string text = "id: " + std::to_string(event) + "\ndata: part " + std::to_string(event) + "\n\n";
        const std::string head = event == first ? streamHead(sealedFields(arrival)) : "";
        if (arrival.socket.isAtEnd() || !arrival.socket.send(head + chunk(text))) {
            record_.line(name_ + ": " + arrival.id + " was cancelled before event " + std::to_string(event));
            return false;
        }
    }
    record_.line(name_ + " completed " + arrival.id);
    return arrival.socket.send(chunk(""));
}

// ---- private ----

std::string Server::streamHead(Fields fields)
{
    fields.emplace_back("Content-Type", "text/event-stream");
    fields.emplace_back("Transfer-Encoding", "chunked");
    return serialize("HTTP/1.1 200 OK", fields, "");
}

void Server::start()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        id_ = "i-" + randomHex().substr(0, 8);
        born_ = unixMs();
        seq_ = 0;
        isRegistered_ = true;
        ++incarnation_;
    }
    startAt_ = 0;
}

void Server::run()
{
    while (!isStopping_) {
        removeExpiredEntries();
        const std::int64_t startAt = startAt_;
        if (startAt == 0 || nowMs() < startAt) {
            sleepMs(STEP_MS);
            continue;
        }
        start();
        listener_ = listenOn(address_);
        isUp_ = true;
        record_.line(name_ + " runs as " + id());
        std::int64_t nextBeatAt = 0;
        while (isUp_ && !isStopping_) {
            removeExpiredEntries();
            if (nowMs() >= nextBeatAt) {
                registerEntry();
                nextBeatAt = nowMs() + HEARTBEAT_MS;
            }
            const int descriptor = acceptOn(listener_, STEP_MS);
            if (descriptor < 0)
                continue;
            auto socket = std::make_shared<Socket>(descriptor);
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                sockets_.remove_if([](const auto& weak) { return weak.expired(); });
                sockets_.push_back(socket);
            }
            ++open_;
            std::thread([this, socket, incarnation = incarnation_.load()]() mutable {
                serve(socket, incarnation);
                socket.reset();
                --open_;
            }).detach();
        }
        ::close(listener_);
        stopConnections();
    }
}

/// Makes the system refuse connections from now on, while the socket stays open for the thread that accepts.
void Server::stopListening() const { ::shutdown(listener_, SHUT_RD); }

void Server::stopConnections()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& weak : sockets_) {
        if (const auto socket = weak.lock())
            socket->interrupt(true);
    }
    sockets_.clear();
}

void Server::serve(const std::shared_ptr<Socket>& socket, int incarnation)
{
    Message request;
    while (isAlive(incarnation)) {
        if (!socket->hasInput(STEP_MS * 4))
            continue;
        if (!socket->readMessage(request, nowMs() + 5'000))
            return;
        Arrival arrival { request, *socket, nowMs(), request.field("Request-Id"), incarnation };
        const std::string expected = request.field("Expect-Instance");
        if (!expected.empty() && expected != id()) {
            if (!reply(arrival, "421 Misdirected Request", { { "Instance-Id", id() } }, ""))
                return;
            continue;
        }
        if (!handler_(*this, arrival))
            return;
    }
}

/// Does what the store does with the entries of instances that have been silent for three heartbeats.
void Server::removeExpiredEntries()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    while (!expiring_.empty() && nowMs() >= expiring_.front().first) {
        store_.remove("servers", expiring_.front().second);
        expiring_.pop_front();
    }
}

void Server::registerEntry()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!isRegistered_)
        return;
    json entry = { { "service", settings_.service }, { "address", address_ }, { "zone", settings_.zone },
        { "version", "v1" }, { "slots", settings_.slots }, { "state", "ready" }, { "coldLeftMs", 0 }, { "seq", ++seq_ },
        { "born", born_ } };
    if (settings_.isEngine) {
        entry["stage"] = "combined";
        entry["models"] = json::array({ { { "name", "m" }, { "version", 1 }, { "adapters", json::array() } } });
    }
    store_.put("servers", id_, entry.dump());
}

} // namespace review
