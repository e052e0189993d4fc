#include "Rig.h"

#include <unistd.h>

#include <algorithm>

namespace review {

using nlohmann::json;

namespace {

    constexpr std::int64_t CONNECTION_IDLE_MS = 120'000;
    constexpr std::int64_t ANSWER_MS = 4; // time of an answer of the store
    constexpr std::int64_t RECENT_WATCH_MS = 1'500;

    std::string encodeBase64(const std::string& bytes)
    {
        static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            unsigned group = 0;
            for (std::size_t j = 0; j < 3; ++j)
                group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
            for (std::size_t j = 0; j < 4; ++j)
                text.push_back(i + j > bytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63U]);
        }
        return text;
    }

    std::uint64_t numberOf(const Message& request, const std::string& name)
    {
        const std::string text = request.query(name);
        return text.empty() ? 0 : std::stoull(text);
    }

} // namespace

Store::Store(Record& record, int daemons)
    : record_(record)
{
    for (int i = 0; i < daemons; ++i) {
        auto door = std::make_unique<Door>();
        door->address = newAddress();
        door->listener = listenOn(door->address);
        Door& opened = *door;
        door->thread = std::thread([this, &opened] { acceptAll(opened); });
        doors_.push_back(std::move(door));
    }
}

Store::~Store()
{
    isStopping_ = true;
    changed_.notify_all();
    for (const auto& door : doors_)
        door->thread.join();
    while (open_ > 0)
        sleepMs(10);
}

std::int64_t Store::put(const std::string& table, const std::string& key, const std::string& text)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    ++version_;
    set({ table, key }, encodeBase64(text), false);
    return nowMs();
}

std::int64_t Store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    ++version_;
    set({ table, key }, "", true);
    return nowMs();
}

void Store::setCut(int daemon, bool isCut)
{
    doors_.at(static_cast<std::size_t>(daemon))->isCut = isCut;
    record_.line("the path between daemon " + std::to_string(daemon) + " and the store "
        + (isCut ? "is cut" : "is whole again"));
}

std::vector<int> Store::watchers()
{
    std::vector<int> found;
    for (std::size_t i = 0; i < doors_.size(); ++i) {
        if (nowMs() - doors_[i]->lastWatchAt < RECENT_WATCH_MS)
            found.push_back(static_cast<int>(i));
    }
    return found;
}

// ---- private ----

void Store::acceptAll(Door& door)
{
    while (!isStopping_) {
        const int descriptor = acceptOn(door.listener, 50);
        if (descriptor < 0)
            continue;
        ++open_;
        std::thread([this, &door, descriptor] {
            serve(door, descriptor);
            --open_;
        }).detach();
    }
    ::close(door.listener);
}

void Store::serve(Door& door, int descriptor)
{
    Socket socket(descriptor);
    Message request;
    const std::int64_t endAt = nowMs() + CONNECTION_IDLE_MS;
    while (!isStopping_ && nowMs() < endAt) {
        if (!socket.hasInput(50))
            continue;
        if (!socket.readMessage(request, nowMs() + 5'000))
            return;
        const auto waitWhileCut = [&] {
            while (door.isCut && !isStopping_ && !socket.isAtEnd())
                sleepMs(10);
        };
        if (door.isCut) {
            waitWhileCut();
            return; // what was sent during a cut is lost with its connection
        }
        int status = 200;
        const std::string body = answer(door, request, status);
        sleepMs(ANSWER_MS);
        if (door.isCut) {
            waitWhileCut();
            return;
        }
        ++door.answers;
        if (!socket.send(serialize("HTTP/1.1 " + std::to_string(status) + " Answer",
                { { "Content-Type", "application/json" }, { "Content-Length", std::to_string(body.size()) } }, body)))
            return;
    }
}

std::string Store::answer(Door& door, const Message& request, int& status)
{
    const std::string path = request.path();
    if (path == "/goldcrestcleat/rows-get")
        return readTable(request);
    if (path == "/goldcrestcleat/rows-feed")
        return feed(door, request);
    if (path == "/goldcrestcleat/rows-tx")
        return transact(request, status);
    status = 404;
    return "{}";
}

std::string Store::readTable(const Message& request)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::string table = request.query("table");
    const std::string from = request.query("from");
    const std::string to = request.query("to");
    const std::uint64_t limit = std::clamp<std::uint64_t>(numberOf(request, "limit"), 1, 500);
    std::string rows;
    std::uint64_t count = 0;
    bool isTruncated = false;
    for (const auto& [name, row] : rows_) {
        if (name.first != table || row.isRemoved || name.second < from || (!to.empty() && name.second >= to))
            continue;
        if (count++ == limit) {
            isTruncated = true;
            break;
        }
        rows += (rows.empty() ? "" : ",") + rowJson(name, row);
    }
    return "{\"rows\":[" + rows + "],\"truncated\":" + (isTruncated ? "true" : "false")
        + ",\"ver\":" + std::to_string(version_) + ",\"nowMs\":" + std::to_string(nowMs()) + "}";
}

std::string Store::feed(Door& door, const Message& request)
{
    const std::string table = request.query("table");
    const std::uint64_t after = numberOf(request, "afterRev");
    const std::int64_t waitMs = static_cast<std::int64_t>(numberOf(request, "waitMs"));
    const std::int64_t endAt = nowMs() + waitMs;
    std::unique_lock<std::mutex> lock(mutex_);
    std::string rows;
    while (true) {
        if (waitMs > 0)
            door.lastWatchAt = nowMs();
        for (const auto& [name, row] : history_) {
            if (name.first == table && row.version > after)
                rows += (rows.empty() ? "" : ",") + rowJson(name, row);
        }
        if (!rows.empty() || nowMs() >= endAt || isStopping_)
            break;
        changed_.wait_for(lock, std::chrono::milliseconds(std::min<std::int64_t>(endAt - nowMs(), 50)));
    }
    return "{\"rows\":[" + rows + "],\"ver\":" + std::to_string(version_) + ",\"nowMs\":" + std::to_string(nowMs())
        + "}";
}

std::string Store::transact(const Message& request, int& status)
{
    const json document = json::parse(request.body);
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto nameOf = [](const json& row) { return Name(row.at("table"), row.at("key")); };
    std::string current;
    for (const auto& condition : document.value("expectRev", json::array())) {
        const auto found = rows_.find(nameOf(condition));
        const bool exists = found != rows_.end() && !found->second.isRemoved;
        if ((exists ? found->second.version : 0) == condition.at("ver").get<std::uint64_t>())
            continue;
        status = 412;
        if (exists)
            current += (current.empty() ? "" : ",") + rowJson(found->first, found->second);
    }
    if (status == 200) {
        ++version_;
        for (const auto& write : document.value("writes", json::array()))
            set(nameOf(write), write.at("value"), false);
        for (const auto& removal : document.value("remove", json::array()))
            set(nameOf(removal), "", true);
    }
    return "{\"rows\":[" + current + "],\"ver\":" + std::to_string(version_) + ",\"nowMs\":" + std::to_string(nowMs())
        + "}";
}

std::string Store::rowJson(const Name& name, const Row& row) const
{
    json document = { { "table", name.first }, { "part", "" }, { "key", name.second }, { "ver", row.version } };
    if (row.isRemoved)
        document["removed"] = true;
    else
        document["value"] = row.value;
    return document.dump();
}

void Store::set(const Name& name, const std::string& value, bool isRemoved)
{
    const Row row { value, version_, isRemoved };
    rows_[name] = row;
    history_.emplace_back(name, row);
    changed_.notify_all();
}

} // namespace review
