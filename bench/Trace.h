#pragma once

#include "goldcrestcleat/loop/EventLoop.h"

#include <cstdint>
#include <string>
#include <vector>

/// Measurements: traces, replays and load on real processes.
namespace bench {

using goldcrestcleat::loop::TimeMs;

/// A kind of work in the trace; its name is also a profile's.
struct Kind {
    const char* name;
    double share;
    int firstTokens; ///< of the first message
    int nextTokens; ///< of each later message
    int parts; ///< of an answer
    TimeMs warmWaitMs;
};

const std::vector<Kind>& kinds();

/// One turn of a chat.
struct Turn {
    TimeMs at = 0; ///< planned arrival, from the trace's start
    int chat = 0;
    int workspace = 0;
    int number = 0; ///< 0 for the chat's first turn
    std::size_t kind = 0;
    int userTokens = 0;
    int parts = 0;
    int historyTokens = 0; ///< prompt tokens of earlier turns and their answers
};

struct TraceOptions {
    std::uint64_t seed = 1;
    int seconds = 40;
    double chatsPerSecond = 12;
    int workspaces = 10;
    double surgeFactor = 10; ///< growth of two small workspaces' arrivals in the surge
    TimeMs medianPauseMs = 4'000; ///< two minutes, compressed thirtyfold
    TimeMs partMs = 20;
};

/// Returns the turns in the order of their arrivals; the same options give the same trace.
std::vector<Turn> makeTrace(const TraceOptions& options);

/// Tokens of an answer of so many parts, as the stand-in engines count them.
int answerTokens(int parts);

/// Sum of all chats' final contexts, in tokens.
long long contextTokens(const std::vector<Turn>& turns);

} // namespace bench
