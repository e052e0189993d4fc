#pragma once

#include "goldcrestcleat/loop/EventLoop.h"

#include <cstdint>
#include <string>
#include <vector>

/// Benchmarks: traces, simulations and load on real processes.
namespace bench {

using goldcrestcleat::loop::TimeMs;

/// A class of requests in the trace. Its name is also the name of its profile.
struct Kind {
    const char* name;
    double share;
    int firstTokens; ///< of the first user message
    int nextTokens; ///< of each later user message
    int parts; ///< of an answer
    TimeMs warmWaitMs;
};

const std::vector<Kind>& kinds();

/// One turn of a chat.
struct Turn {
    TimeMs at = 0; ///< arrival time, from the start of the trace
    int chat = 0;
    int workspace = 0;
    int number = 0; ///< 0 for the chat's first turn
    std::size_t kind = 0;
    int userTokens = 0;
    int parts = 0;
    int historyTokens = 0; ///< tokens of earlier turns and their answers
};

struct TraceOptions {
    std::uint64_t seed = 1;
    int seconds = 40;
    double chatsPerSecond = 12;
    int workspaces = 10;
    double surgeFactor = 10; ///< factor on the arrival rate of two small workspaces during the surge
    TimeMs medianPauseMs = 4'000; ///< a pause of two minutes, shortened by a factor of 30
    TimeMs partMs = 20;
};

/// Returns the turns in order of arrival. The same options give the same trace.
std::vector<Turn> makeTrace(const TraceOptions& options);

/// Returns the number of tokens in an answer of `parts` parts, as stand-in engines count them.
int answerTokens(int parts);

/// Returns the sum of the final context sizes of all chats, in tokens.
long long contextTokens(const std::vector<Turn>& turns);

} // namespace bench
