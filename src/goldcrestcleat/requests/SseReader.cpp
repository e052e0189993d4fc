#include "goldcrestcleat/requests/SseReader.h"

namespace goldcrestcleat::requests {

namespace {

    constexpr std::string_view DATA_PREFIX = "data:";

    /// Returns the text after `"name":` and white space, or an empty view.
    std::string_view rawValue(std::string_view data, std::string_view quotedName)
    {
        const auto at = data.find(quotedName);
        if (at == std::string_view::npos)
            return {};
        const auto start = data.find_first_not_of(" \t", at + quotedName.size());
        return start == std::string_view::npos ? std::string_view() : data.substr(start);
    }

} // namespace

SseEvent classifyEvent(std::string_view data)
{
    SseEvent event;
    event.data = data;
    event.isDone = data == "[DONE]";
    const auto content = rawValue(data, "\"content\":");
    event.hasContent = content.size() > 1 && content[0] == '"' && content[1] != '"';
    const auto finish = rawValue(data, "\"finish_reason\":");
    event.isFinish = !finish.empty() && finish[0] == '"';
    event.isError = data.substr(0, 8) == "{\"error\"";
    return event;
}

bool SseReader::feed(std::string_view bytes, const EventHook& onEvent)
{
    buffer_.append(bytes);
    std::size_t start = 0;
    bool goesOn = true;
    while (goesOn) {
        const auto end = buffer_.find("\n\n", start);
        if (end == std::string::npos)
            break;
        std::string_view event(buffer_.data() + start, end - start);
        start = end + 2;
        if (event.substr(0, DATA_PREFIX.size()) != DATA_PREFIX)
            continue; // a comment or another field
        event.remove_prefix(DATA_PREFIX.size());
        if (!event.empty() && event.front() == ' ')
            event.remove_prefix(1);
        goesOn = onEvent(classifyEvent(event));
    }
    buffer_.erase(0, start);
    return goesOn && buffer_.size() <= MAX_EVENT_BYTES;
}

} // namespace goldcrestcleat::requests
