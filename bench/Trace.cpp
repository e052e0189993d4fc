#include "bench/Trace.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

namespace bench {

namespace {

    constexpr double MEAN_TURNS = 6;
    constexpr double PAUSE_SIGMA = 1.0; // of the log-normal distribution of pauses
    constexpr double SURGE_BEGIN = 0.4; // SURGE_BEGIN and SURGE_END are shares of the trace
    constexpr double SURGE_END = 0.7;
    constexpr double ZIPF_EXPONENT = 1.2;
    constexpr int FIRST_SURGE_WORKSPACE = 6; // workspaces 6 and 7 surge; both are small

    std::size_t pickKind(std::mt19937_64& random)
    {
        double remaining = std::uniform_real_distribution<>(0, 1)(random);
        for (std::size_t i = 0; i + 1 < kinds().size(); ++i) {
            remaining -= kinds()[i].share;
            if (remaining < 0)
                return i;
        }
        return kinds().size() - 1;
    }

} // namespace

const std::vector<Kind>& kinds()
{
    static const std::vector<Kind> table = {
        { "handover", 0.15, 1500, 60, 60, 1500 },
        { "question", 0.60, 200, 40, 30, 350 },
        { "tidy", 0.25, 80, 80, 15, 1000 },
    };
    return table;
}

int answerTokens(int parts) { return parts * 3 / 2; }

std::vector<Turn> makeTrace(const TraceOptions& options)
{
    std::mt19937_64 random(options.seed);
    std::vector<Turn> turns;
    int nextChat = 0;
    const TimeMs endMs = options.seconds * 1000;
    double zipfSum = 0;
    for (int w = 0; w < options.workspaces; ++w)
        zipfSum += 1 / std::pow(w + 1, ZIPF_EXPONENT);
    for (int w = 0; w < options.workspaces; ++w) {
        const double perMs = options.chatsPerSecond / 1000 / std::pow(w + 1, ZIPF_EXPONENT) / zipfSum;
        const bool hasSurge = w == FIRST_SURGE_WORKSPACE || w == FIRST_SURGE_WORKSPACE + 1;
        double at = 0;
        for (;;) {
            const double share = at / static_cast<double>(endMs);
            const bool inSurge = hasSurge && share >= SURGE_BEGIN && share < SURGE_END;
            at += std::exponential_distribution<>(perMs * (inSurge ? options.surgeFactor : 1))(random);
            if (at >= static_cast<double>(endMs))
                break;
            Turn turn;
            turn.chat = nextChat++;
            turn.workspace = w;
            turn.kind = pickKind(random);
            const Kind& kind = kinds()[turn.kind];
            const int count = 1 + std::geometric_distribution<>(1 / MEAN_TURNS)(random);
            double turnAt = at;
            for (turn.number = 0; turn.number < count && turnAt < static_cast<double>(endMs); ++turn.number) {
                turn.at = static_cast<TimeMs>(turnAt);
                turn.userTokens = turn.number == 0 ? kind.firstTokens : kind.nextTokens;
                turn.parts = kind.parts;
                turns.push_back(turn);
                turn.historyTokens += turn.userTokens + answerTokens(turn.parts);
                const double pause = std::lognormal_distribution<>(
                    std::log(static_cast<double>(options.medianPauseMs)), PAUSE_SIGMA)(random);
                turnAt += static_cast<double>(turn.parts * options.partMs) + pause;
            }
        }
    }
    std::sort(turns.begin(), turns.end(),
        [](const Turn& a, const Turn& b) { return std::tie(a.at, a.chat) < std::tie(b.at, b.chat); });
    return turns;
}

long long contextTokens(const std::vector<Turn>& turns)
{
    std::map<int, int> contexts;
    for (const Turn& turn : turns)
        contexts[turn.chat] = turn.historyTokens + turn.userTokens + answerTokens(turn.parts);
    long long total = 0;
    for (const auto& [chat, tokens] : contexts)
        total += tokens;
    return total;
}

} // namespace bench
