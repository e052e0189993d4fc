#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestcleat::forwarding {

/// One complete server-sent event.
struct StreamEvent {
    std::string_view bytes; ///< as received, including the terminating blank line
    std::optional<std::uint64_t> id;
};

/// Returns the value of an event's first line if that line is a `data` field, otherwise an empty view.
std::string_view eventData(std::string_view event);

/// Returns true if an event contains only comments and blank lines, which some servers send to keep a connection open.
bool hasNoFields(std::string_view event);

/// Splits a byte stream into server-sent events and parses their ids.
class EventReader {
public:
    /// Longer events are treated as malformed input.
    static constexpr std::size_t MAX_EVENT_BYTES = 1024 * 1024;

    using EventHook = std::function<bool(const StreamEvent&)>; ///< returns false to stop

    /// Calls the hook for each completed event. Returns false if the hook stopped, an event is too long, or one
    /// contains a part of another response.
    bool feed(std::string_view bytes, const EventHook& onEvent);

    /// Returns true if the bytes so far end within an event.
    bool hasPartialEvent() const { return !buffer_.empty(); }

    std::size_t partialEventBytes() const { return buffer_.size(); }

private:
    std::string buffer_;
};

} // namespace goldcrestcleat::forwarding
