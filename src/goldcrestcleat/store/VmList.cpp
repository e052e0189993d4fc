#include "goldcrestcleat/store/VmList.h"

#include "goldcrestcleat/store/TableClient.h"

#include <nlohmann/json.hpp>

namespace goldcrestcleat::store {

using nlohmann::json;

namespace {

    constexpr loop::TimeMs POLL_MS = 2'000;
    constexpr std::size_t MAX_ANSWER_BYTES = 4 * 1024 * 1024;

    VmEntry parseEntry(const json& row)
    {
        VmEntry entry;
        entry.id = row.at("id");
        entry.state = row.value("state", "live") == "leaving" ? VmState::Leaving : VmState::Live;
        entry.incarnation = row.value("incarnation", std::uint64_t { 0 });
        entry.kind = row.value("kind", "");
        entry.address = row.value("address", "");
        entry.dataCentre = row.value("dataCentre", "");
        entry.model = row.value("model", "");
        entry.service = row.value("service", "");
        entry.peer = row.value("peer", "");
        return entry;
    }

} // namespace

VmListWatcher::VmListWatcher(loop::EventLoop& loop, std::string address, loop::TimeMs timeoutMs, ChangeHook onChange)
    : loop_(loop)
    , address_(std::move(address))
    , timeoutMs_(timeoutMs)
    , onChange_(std::move(onChange))
    , client_(loop, { 16 * 1024, MAX_ANSWER_BYTES })
{
}

void VmListWatcher::start()
{
    poll();
    loop_.every(POLL_MS, [this] { poll(); });
}

void VmListWatcher::poll()
{
    http::Request request;
    request.target = "/v1/vms?known=" + std::to_string(knownRevision_);
    callOnce(loop_, client_, address_, request, timeoutMs_, http::Client::Reuse::Allowed,
        [this](http::FailurePoint, int status, const std::string& body) { onAnswer(status, body); });
}

void VmListWatcher::onAnswer(int status, const std::string& body)
{
    if (status == 204)
        lastAnswerAt_ = loop_.now();
    if (status != 200)
        return;
    try {
        const json document = json::parse(body);
        std::vector<VmEntry> entries;
        for (const auto& row : document.at("vms"))
            entries.push_back(parseEntry(row));
        knownRevision_ = document.at("revision");
        lastAnswerAt_ = loop_.now();
        onChange_(entries);
    } catch (const json::exception&) {
        // A malformed list is ignored; the next poll requests it again.
    }
}

} // namespace goldcrestcleat::store
