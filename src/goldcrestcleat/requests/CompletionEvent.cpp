#include "goldcrestcleat/requests/CompletionEvent.h"

namespace goldcrestcleat::requests {

namespace {

    /// Returns the text after `"name":` and any white space, or an empty view.
    std::string_view rawValue(std::string_view data, std::string_view quotedName)
    {
        const auto at = data.find(quotedName);
        if (at == std::string_view::npos)
            return {};
        const auto start = data.find_first_not_of(" \t", at + quotedName.size());
        return start == std::string_view::npos ? std::string_view() : data.substr(start);
    }

} // namespace

CompletionEvent classifyEvent(std::string_view data)
{
    CompletionEvent event;
    event.data = data;
    event.isDone = data == "[DONE]";
    const auto content = rawValue(data, "\"content\":");
    event.hasContent = content.size() > 1 && content[0] == '"' && content[1] != '"';
    const auto finish = rawValue(data, "\"finish_reason\":");
    event.isFinish = !finish.empty() && finish[0] == '"';
    event.isError = data.substr(0, 8) == "{\"error\"";
    return event;
}

} // namespace goldcrestcleat::requests
