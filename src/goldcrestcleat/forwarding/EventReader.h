#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestcleat::forwarding {

/// One whole event of a stream.
struct StreamEvent {
    std::string_view bytes; ///< as received, with the blank line that ends it
    std::optional<std::uint64_t> id;
};

/// Returns the text of an event's first line if that is a data field, or an empty view.
std::string_view dataOf(std::string_view event);

/// Cuts a byte stream into whole server-sent events and reads their ids.
class EventReader {
public:
    /// An event that is longer than this is taken for rubbish, in bytes.
    static constexpr std::size_t MAX_EVENT_BYTES = 1024 * 1024;

    using EventHook = std::function<bool(const StreamEvent&)>; ///< false stops reading

    /// Calls the hook for each event that is now whole; false when it stopped or an event is too long.
    bool feed(std::string_view bytes, const EventHook& onEvent);

    /// True while a part of an event waits for its end.
    bool hasPartialEvent() const { return !buffer_.empty(); }

private:
    std::string buffer_;
};

} // namespace goldcrestcleat::forwarding
