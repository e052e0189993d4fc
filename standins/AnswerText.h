#pragma once

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <cstdint>
#include <string>

/// Stand-ins: small programs that replace upstreams and the platform in tests and benchmarks.
namespace standins {

/// Returns a hash of the conversation, from which a stand-in engine derives its entire answer.
inline std::uint64_t conversationHash(const nlohmann::json& messages)
{
    const std::string text = messages.dump();
    return XXH3_64bits(text.data(), text.size());
}

/// Returns the part of the answer at a position. All engines generate the same parts, so that callers can verify
/// answers.
inline std::string answerPart(std::uint64_t conversation, std::size_t position)
{
    const std::uint64_t word = XXH3_64bits_withSeed(&position, sizeof position, conversation) % 10'000;
    return (position == 0 ? "w" : " w") + std::to_string(word);
}

/// Returns the text of an answer of `parts` parts.
inline std::string answerText(std::uint64_t conversation, std::size_t parts)
{
    std::string text;
    for (std::size_t i = 0; i < parts; ++i)
        text += answerPart(conversation, i);
    return text;
}

/// Returns the number of tokens of a message, estimated at four bytes per token.
inline std::size_t tokenCount(const nlohmann::json& message) { return message.value("content", "").size() / 4 + 1; }

} // namespace standins
