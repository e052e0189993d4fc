#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace goldcrestcleat::requests {

/// What an event of a streamed completion is, as far as routing has to know.
struct SseEvent {
    std::string_view data; ///< without the "data: " prefix
    bool isDone = false; ///< the end marker
    bool hasContent = false; ///< holds a part of the answer
    bool isFinish = false; ///< holds the reason for which the answer ended
    bool isError = false;
};

/// Cuts a byte stream into server-sent events.
class SseReader {
public:
    using EventHook = std::function<bool(const SseEvent&)>; ///< false stops reading

    static constexpr std::size_t MAX_EVENT_BYTES = 1024 * 1024;

    /// Calls the hook for each event that is now whole; false when it stopped or an event is too long.
    bool feed(std::string_view bytes, const EventHook& onEvent);

    /// Drops what is left of an event that never ended.
    void reset() { buffer_.clear(); }

private:
    std::string buffer_;
};

/// Classifies an event's data without parsing it whole.
///
/// The fields are searched as raw JSON text; quotes inside strings are escaped there, so that text of the
/// answer can't be taken for a field.
SseEvent classifyEvent(std::string_view data);

} // namespace goldcrestcleat::requests
