#include "goldcrestcleat/cli/LogCommands.h"
#include "goldcrestcleat/cli/Report.h"
#include "goldcrestcleat/fleet/PeerMessages.h"
#include "goldcrestcleat/forwarding/EventReader.h"
#include "goldcrestcleat/http/MessageReader.h"
#include "goldcrestcleat/requests/CompletionEvent.h"
#include "goldcrestcleat/settings/FrontSettings.h"
#include "goldcrestcleat/settings/Settings.h"
#include "platform/Documents.h"
#include "platform/HeaderDialect.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <random>
#include <sstream>

using namespace goldcrestcleat;
using nlohmann::json;

// Mutates valid input from untrusted sources at random and parses it. Each input must be parsed or rejected with a
// result code; nothing may crash, hang or throw any other exception. FUZZ_SEED and FUZZ_COUNT set the seed and the
// number of inputs for each parser; long runs are started by hand under the sanitizers.

namespace {

constexpr long long DEFAULT_SEED = 20261204;
constexpr long long DEFAULT_COUNT = 20'000;

long long numberFromEnvironment(const char* name, long long fallback)
{
    const char* text = std::getenv(name);
    return text ? std::atoll(text) : fallback;
}

/// Mutates inputs: bytes are overwritten, removed, duplicated, replaced by tokens that affect parsers, or taken from
/// another input.
class Mutator {
public:
    Mutator(std::uint64_t seed, std::vector<std::string> inputs)
        : random_(seed)
        , inputs_(std::move(inputs))
    {
    }

    std::string next()
    {
        std::string text = inputs_[randomBelow(inputs_.size())];
        for (std::size_t mutations = 1 + randomBelow(6); mutations > 0; --mutations)
            mutate(text);
        return text;
    }

    std::size_t randomBelow(std::size_t limit) { return limit == 0 ? 0 : random_() % limit; }

private:
    void mutate(std::string& text)
    {
        static const std::vector<std::string> tokens = { std::string(1, '\0'), "\r\n", "\r\n\r\n", "\n\n", "\"", "{",
            "}", "[", "]", ":", ",", "-1", "0", "18446744073709551616", "9223372036854775808", "1e999", "null", "true",
            "\xff\xfe", "Transfer-Encoding: chunked\r\n", "Content-Length: 5\r\n", "ffffffffffffffff\r\n",
            "id: 99999999999999999999\n", "data:", "%00", "../", " ", "\t", ";", "=" };
        const std::size_t at = randomBelow(text.size() + 1);
        const std::size_t length = randomBelow(std::min<std::size_t>(text.size() - at, 32) + 1);
        switch (randomBelow(6)) {
        case 0:
            if (at < text.size())
                text[at] = static_cast<char>(random_());
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, text.substr(at, length));
            break;
        case 3:
            text.replace(at, length, tokens[randomBelow(tokens.size())]);
            break;
        case 4:
            text.insert(at, tokens[randomBelow(tokens.size())]);
            break;
        default: {
            const std::string& other = inputs_[randomBelow(inputs_.size())];
            text = text.substr(0, at) + other.substr(randomBelow(other.size()));
        }
        }
    }

    std::mt19937_64 random_;
    std::vector<std::string> inputs_;
};

/// Parses mutated inputs, which may throw only errors with a result code.
void fuzz(
    const char* name, std::vector<std::string> inputs, const std::function<void(const std::string&, Mutator&)>& parse)
{
    const auto seed = static_cast<std::uint64_t>(numberFromEnvironment("FUZZ_SEED", DEFAULT_SEED));
    const long long count = numberFromEnvironment("FUZZ_COUNT", DEFAULT_COUNT);
    Mutator mutator(seed, std::move(inputs));
    long long rejected = 0;
    for (long long i = 0; i < count; ++i) {
        const std::string input = mutator.next();
        try {
            parse(input, mutator);
        } catch (const errors::Error& e) {
            cr_assert_neq(static_cast<int>(e.code()), 0);
            ++rejected;
        } catch (const std::exception& e) {
            cr_assert_fail("%s, seed %llu, input %lld threw '%s': %s", name, static_cast<unsigned long long>(seed), i,
                e.what(), json(input).dump(-1, ' ', true, json::error_handler_t::replace).c_str());
        }
    }
    std::printf(
        "%s: seed %llu, %lld inputs, %lld rejected\n", name, static_cast<unsigned long long>(seed), count, rejected);
}

/// Feeds a text in pieces of random length.
template <typename Feed> void feedInPieces(const std::string& text, Mutator& mutator, Feed feed)
{
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t length = 1 + mutator.randomBelow(40);
        feed(std::string_view(text).substr(at, length));
        at += length;
    }
}

void readMessages(http::MessageReader::Kind kind, const std::string& input, Mutator& mutator)
{
    std::size_t bodyBytes = 0;
    bool hasFault = false;
    http::MessageReader::Hooks hooks;
    hooks.onRequestHead = [](const Poco::Net::HTTPRequest&) {};
    hooks.onResponseHead = [](const Poco::Net::HTTPResponse&) {};
    hooks.onBody = [&](std::string_view part) { bodyBytes += part.size(); };
    hooks.onError = [&](errors::ResultCode code, const std::string&) {
        cr_assert_neq(static_cast<int>(code), 0);
        hasFault = true;
    };
    bool hasEnded = false;
    hooks.onEnd = [&] { hasEnded = true; };
    http::MessageReader reader(kind, { 2'048, 4'096 }, std::move(hooks));
    feedInPieces(input, mutator, [&](std::string_view part) {
        if (hasFault)
            return;
        reader.feed(part);
        while (hasEnded && !hasFault) {
            hasEnded = false;
            reader.next();
        }
    });
    reader.endOfStream();
    cr_assert_leq(bodyBytes, input.size(), "the body must not be longer than the input");
}

const std::string REQUEST
    = "POST /chat/1?x=%20 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: 12ab\r\nRequest-Deadline: 6000\r\n"
      "Prompt-Prefix: aa:50,bb:40,cc:10\r\nContent-Length: 5\r\n\r\nhello";
const std::string CHUNKED
    = "PUT /read/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n3;x=y\r\nabc\r\n0\r\n"
      "T: 1\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string RESPONSE
    = "HTTP/1.1 200 OK\r\nRequest-Id: 12ab\r\nServer-Seal: x.y\r\nKeep-Alive: timeout=5\r\nContent-Length: 3"
      "\r\n\r\nabcHTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const std::string STREAM
    = "id: 1\ndata: one\n\nid: 2\nweight-versions: 3\ndata: two\n\n: comment\n\nid: 3\ndata: [DONE]\n\n";
const std::string COMPLETION
    = "data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"x\"},\"finish_reason\":null}]}\n\ndata: "
      "{\"choices\":[{\"delta\":{},\"finish_reason\": \"stop\"}]}\n\ndata: [DONE]\n\n";
const std::string ENTRY
    = R"({"service":"s","address":"10.1.2.3:80","zone":"z","version":"v1","slots":6,"state":"ready",)"
      R"("coldLeftMs":0,"seq":4,"born":1700000000123,"models":[{"name":"m"}]})";
const std::string CONFIGURATION
    = R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","kind":"streaming","timeoutMs":12000,"goalMs":400,)"
      R"("priority":1,"split":[{"service":"a","weight":90},{"service":"b","weight":10}],"attempts":2,"noAuth":false,)"
      R"("sticky":true,"resumable":true,"gapTargetMs":300}],"services":[{"name":"a","maxConns":5}],)"
      R"("tenants":[{"name":"t","apiKeys":["k"],"priority":2}],)"
      R"("limits":{"headerBytes":100,"bodyBytes":200,"headerTimeoutMs":300,"idleTimeoutMs":400}})";
const std::string FRONT_SETTINGS
    = R"({"vm":"v","dataCentre":"d","callerAddress":"10.0.0.1:1","readinessAddress":"10.0.0.1:2","peerAddress":"10.0.0.1:3",)"
      R"("storeAddress":"10.0.0.1:4","bounds":{"stopGraceS":8,"retryRatio":0.2,"loadFactor":2}})";

} // namespace

Test(fuzz, requests)
{
    fuzz("requests", { REQUEST, CHUNKED }, [](const std::string& input, Mutator& mutator) {
        readMessages(http::MessageReader::Kind::Request, input, mutator);
    });
}

Test(fuzz, answers)
{
    fuzz("answers", { RESPONSE, "HTTP/1.1 200 OK\r\n\r\nuntil it closes" },
        [](const std::string& input, Mutator& mutator) {
            readMessages(http::MessageReader::Kind::Response, input, mutator);
        });
}

Test(fuzz, streams)
{
    fuzz("streams", { STREAM, COMPLETION }, [](const std::string& input, Mutator& mutator) {
        forwarding::EventReader reader;
        std::size_t bytes = 0;
        feedInPieces(input, mutator, [&](std::string_view part) {
            reader.feed(part, [&](const forwarding::StreamEvent& event) {
                bytes += event.bytes.size();
                const auto completion = requests::classifyEvent(forwarding::eventData(event.bytes));
                return !completion.isDone;
            });
        });
        cr_assert_leq(bytes, input.size());
    });
}

Test(fuzz, platform_headers)
{
    const auto dialect = platform::makeHeaderDialect();
    const std::vector<std::string> inputs = { "aa:50,bb:40,cc:10", "6000", "12", "keep-alive, Upgrade", "close" };
    fuzz("headers", inputs, [&](const std::string& input, Mutator&) {
        Poco::Net::HTTPRequest head("POST", "/p/", "HTTP/1.1");
        std::string value;
        for (const char c : input) {
            if (c != '\r' && c != '\n' && c != '\0')
                value += c;
        }
        for (const char* name : { "Prompt-Prefix", "Request-Deadline", "Last-Event-Id", "Connection", "Hold" })
            head.set(name, value);
        const http::Exchange exchange({}, head);
        const auto inbound = dialect.decode(exchange);
        for (const auto& part : inbound.prompt)
            cr_assert(part.id.size() <= input.size());
        const auto request = dialect.encode(exchange, forwarding::ForwardingMetadata());
        for (const auto& [name, field] : request.fields)
            cr_assert(name != "Hold", "a caller must not set header fields that are reserved for the fleet");
    });
}

Test(fuzz, server_entries)
{
    fuzz("entries", { ENTRY }, [](const std::string& input, Mutator&) {
        const auto entry = platform::parseServer("i-1", input);
        cr_assert(!entry.service.empty() && entry.slots > 0);
    });
}

Test(fuzz, configurations)
{
    fuzz("configurations", { CONFIGURATION }, [](const std::string& input, Mutator&) {
        const auto configuration = platform::parseConfiguration(input);
        for (const auto& route : configuration.routes)
            cr_assert(!route.targets.empty() && !route.prefix.empty());
    });
}

Test(fuzz, settings)
{
    fuzz("settings", { FRONT_SETTINGS }, [](const std::string& input, Mutator&) {
        const auto document = json::parse(input, nullptr, false);
        if (document.is_discarded())
            return;
        std::vector<documents::Fault> faults;
        settings::parseFrontSettings(document, faults);
        settings::parseSettings(document, faults);
        for (const auto& fault : faults)
            cr_assert_neq(static_cast<int>(fault.code), 0);
    });
}

Test(fuzz, peer_messages)
{
    using namespace fleet;
    std::vector<std::string> inputs;
    for (const PeerMessage& message : std::vector<PeerMessage> { Hello { "vm1", "00ff" }, Proof { "ab" },
             AcquireTicket { 1, 2, 3, 1.5, 2.5, 300, true, 4 }, DaemonState { true, false, 123, { 5, 6 } },
             ServerLoads { { { 1, 2 }, { 3, 4 } }, false, true, true, { { 2, 7 }, { 0, 0 } } },
             MirrorRequest { "servers", 12 }, MirrorRows { "servers", 12, { false, 14, { { "a", "x", 13, false } } } },
             UnreachableServers { { 7 } }, LeavingServers { { { 7, 1, "10.0.0.1:80" } } },
             SlowServers { { { 7, 4.5 } } },
             CrashReports { { { 1, 9, admission::RunStage::Begun, true, 20, "vm1", { 2, 3 } } } },
             SuspectAnswers { { { 2, 1 } } }, Verdicts { { { 2, 3, true, 4, 1, { "vm1" }, "vm1", 5, 2, 1, false } } },
             ConfigItems { { { "profile", "quick", 3, { { "priority", 1 } } } } } })
        inputs.push_back(encode(message));
    fuzz("peers", inputs, [](const std::string& input, Mutator&) {
        const PeerMessage message = decode(input);
        decode(encode(message));
    });
}

Test(fuzz, logs)
{
    const std::string line
        = R"({"event":"second","vm":"v","time":"2026-01-01T00:00:01.000000Z","codes":{"0":4},)"
          R"("kinds":{"stream":{"n":1,"p50":3,"p95":9}},"loads":{"e":2},"config":3,"peers":1})"
          "\n"
          R"({"event":"refused","code":2005,"request":"r","time":"2026-01-01T00:00:02.000000Z","vm":"v"})"
          "\n";
    fuzz("logs", { line }, [](const std::string& input, Mutator&) {
        std::istringstream in(input);
        const auto lines = cli::readLogLines(in);
        cli::buildTimeline(lines, "r");
        cr_assert(cli::reportPage(lines).find("</html>") != std::string::npos);
    });
}
