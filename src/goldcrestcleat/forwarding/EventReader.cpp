#include "goldcrestcleat/forwarding/EventReader.h"

#include <charconv>

namespace goldcrestcleat::forwarding {

namespace {

    constexpr std::string_view EVENT_END = "\n\n";
    constexpr std::string_view ID_FIELD = "id:";
    constexpr std::string_view DATA_FIELD = "data:";
    constexpr char COMMENT_START = ':';
    constexpr std::string_view STATUS_LINE_START = "HTTP/1.";

    std::optional<std::uint64_t> parseId(std::string_view line)
    {
        line.remove_prefix(ID_FIELD.size());
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        std::uint64_t id = 0;
        const auto result = std::from_chars(line.data(), line.data() + line.size(), id);
        const bool isComplete = result.ec == std::errc() && result.ptr == line.data() + line.size();
        return isComplete ? std::optional<std::uint64_t>(id) : std::nullopt;
    }

    std::optional<std::uint64_t> idOf(std::string_view event)
    {
        std::size_t start = 0;
        while (start < event.size()) {
            auto end = event.find('\n', start);
            if (end == std::string_view::npos)
                end = event.size();
            const std::string_view line = event.substr(start, end - start);
            if (line.substr(0, ID_FIELD.size()) == ID_FIELD)
                return parseId(line);
            start = end + 1;
        }
        return std::nullopt;
    }

    /// Returns whether an event has a status line or an empty line of HTTP, whose lines end in CR LF. No field of an
    /// event looks like one of them: a server has sent a part of another response.
    bool containsHttpHead(std::string_view event)
    {
        std::size_t start = 0;
        while (start < event.size()) {
            const auto end = event.find('\n', start); // the event ends in a line break
            const std::string_view line = event.substr(start, end - start);
            if (line == "\r" || line.substr(0, STATUS_LINE_START.size()) == STATUS_LINE_START)
                return true;
            start = end + 1;
        }
        return false;
    }

} // namespace

std::string_view eventData(std::string_view event)
{
    if (event.substr(0, DATA_FIELD.size()) != DATA_FIELD)
        return {}; // a comment or another field
    event.remove_prefix(DATA_FIELD.size());
    if (!event.empty() && event.front() == ' ')
        event.remove_prefix(1);
    return event.substr(0, event.find('\n'));
}

bool hasNoFields(std::string_view event)
{
    bool isLineStart = true;
    for (const char c : event) {
        if (isLineStart && c != '\n' && c != COMMENT_START)
            return false;
        isLineStart = c == '\n';
    }
    return true;
}

bool EventReader::feed(std::string_view bytes, const EventHook& onEvent)
{
    buffer_.append(bytes);
    std::size_t start = 0;
    bool shouldContinue = true;
    while (shouldContinue) {
        const auto end = buffer_.find(EVENT_END, start);
        if (end == std::string::npos)
            break;
        const std::string_view event(buffer_.data() + start, end + EVENT_END.size() - start);
        start = end + EVENT_END.size();
        shouldContinue = !containsHttpHead(event) && onEvent({ event, idOf(event) });
    }
    buffer_.erase(0, start);
    return shouldContinue && buffer_.size() <= MAX_EVENT_BYTES;
}

} // namespace goldcrestcleat::forwarding
