#pragma once

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <cstdint>
#include <string>

/// Small programs that stand for upstreams and the platform in tests and benches.
namespace standins {

/// Returns a hash of the conversation, which decides the whole answer of a stand-in engine.
inline std::uint64_t conversationHash(const nlohmann::json& messages)
{
    const std::string text = messages.dump();
    return XXH3_64bits(text.data(), text.size());
}

/// Returns the answer's part at a position; the same on every engine, so that callers can check whole answers.
inline std::string answerPart(std::uint64_t conversation, std::size_t position)
{
    const std::uint64_t word = XXH3_64bits_withSeed(&position, sizeof position, conversation) % 10'000;
    return (position == 0 ? "w" : " w") + std::to_string(word);
}

/// Returns the first `parts` parts of an answer.
inline std::string wholeAnswer(std::uint64_t conversation, std::size_t parts)
{
    std::string text;
    for (std::size_t i = 0; i < parts; ++i)
        text += answerPart(conversation, i);
    return text;
}

/// Returns the size of a message in tokens, four bytes each.
inline std::size_t tokensOf(const nlohmann::json& message) { return message.value("content", "").size() / 4 + 1; }

} // namespace standins
