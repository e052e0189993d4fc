#pragma once

#include <string_view>

namespace goldcrestcleat::requests {

/// What an event of a streamed completion is, as far as routing has to know.
struct CompletionEvent {
    std::string_view data; ///< without the "data: " prefix
    bool isDone = false; ///< the end marker
    bool hasContent = false; ///< holds a part of the answer
    bool isFinish = false; ///< holds the reason for which the answer ended
    bool isError = false;
};

/// Classifies an event's data without parsing it whole.
///
/// The fields are searched as raw JSON text; quotes inside strings are escaped there, so that text of the
/// answer can't be taken for a field.
CompletionEvent classifyEvent(std::string_view data);

} // namespace goldcrestcleat::requests
