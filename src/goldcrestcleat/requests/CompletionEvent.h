#pragma once

#include <string_view>

namespace goldcrestcleat::requests {

/// The properties of a streamed completion event that are relevant for forwarding.
struct CompletionEvent {
    std::string_view data; ///< without the "data: " prefix
    bool isDone = false; ///< the event is the end marker
    bool hasContent = false; ///< contains a part of the answer
    bool isFinish = false; ///< contains the finish reason
    bool isError = false;
};

/// Classifies an event's data without parsing it completely.
///
/// The fields are searched for in the raw JSON text. Quotes within strings are escaped there, so that the answer's text
/// cannot be mistaken for a field.
CompletionEvent classifyEvent(std::string_view data);

} // namespace goldcrestcleat::requests
