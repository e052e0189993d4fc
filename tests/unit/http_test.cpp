#include "goldcrestcleat/forwarding/EventReader.h"
#include "goldcrestcleat/http/MessageReader.h"
#include "goldcrestcleat/requests/CompletionEvent.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace goldcrestcleat;
using http::MessageReader;

namespace {

/// Feeds bytes to a reader in pieces and records its events.
struct Reading {
    int heads = 0;
    int ends = 0;
    int fault = 0;
    std::string body;

    Reading(MessageReader::Kind kind, const std::string& bytes, std::size_t pieceSize,
        const http::Limits& limits = { 200, 50 })
    {
        MessageReader reader(kind, limits,
            { [&](const Poco::Net::HTTPRequest&) { ++heads; }, [&](const Poco::Net::HTTPResponse&) { ++heads; },
                [&](std::string_view part) { body.append(part); }, [&] { ++ends; },
                [&](errors::ResultCode code, const std::string&) { fault = static_cast<int>(code); } });
        for (std::size_t at = 0; at < bytes.size(); at += pieceSize) {
            reader.feed(bytes.substr(at, pieceSize));
            reader.next();
        }
        reader.endOfStream();
    }
};

struct Case {
    const char* name;
    std::string bytes;
    int heads;
    int ends;
    int fault;
    std::string body;
};

} // namespace

Test(message_reader, requests_do_not_depend_on_how_the_input_is_split)
{
    const std::vector<Case> cases = {
        { "no body", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 1, 1, 0, "" },
        { "two pipelined", "GET / HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n", 2, 2, 0, "" },
        { "length", "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello", 1, 1, 0, "hello" },
        { "chunks", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n", 1, 1,
            0, "abcde" },
        { "early end", "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhel", 1, 0, 0, "hel" },
        { "garbage", "\x01\x02\x03\r\n\r\n", 0, 0, 1001, "" },
        { "head too large", "GET / HTTP/1.1\r\nX: " + std::string(300, 'a') + "\r\n\r\n", 0, 0, 1002, "" },
        { "head never ends", std::string(300, 'a'), 0, 0, 1002, "" },
        { "body too large", "POST / HTTP/1.1\r\nContent-Length: 51\r\n\r\n", 0, 0, 1003, "" },
        { "chunks too large", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n", 1, 0, 1003, "" },
        { "bad length", "POST / HTTP/1.1\r\nContent-Length: five\r\n\r\n", 0, 0, 1001, "" },
        { "negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 0, 0, 1001, "" },
        { "length and chunks", "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 0, 0, 1001,
            "" },
        { "bad chunk size", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", 1, 0, 1001, "" },
        { "blank before the colon", "POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n", 0, 0, 1001, "" },
        { "folded line", "POST / HTTP/1.1\r\nX: a\r\n Content-Length: 5\r\n\r\n", 0, 0, 1001, "" },
        { "line without colon", "GET / HTTP/1.1\r\nHost\r\n\r\n", 0, 0, 1001, "" },
        { "empty name", "GET / HTTP/1.1\r\n: x\r\n\r\n", 0, 0, 1001, "" },
        { "length twice", "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n", 0, 0, 1001, "" },
        { "coding twice", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 0, 0,
            1001, "" },
        { "plus sign", "POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\nhello", 0, 0, 1001, "" },
        { "lone line feed", "POST / HTTP/1.1\r\nX: a\nContent-Length: 5\r\n\r\n", 0, 0, 1001, "" },
        { "lone return", "POST / HTTP/1.1\r\nX: a\rContent-Length: 5\r\n\r\n", 0, 0, 1001, "" },
        { "chunks in 1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 0, 0, 1001, "" },
        { "another coding", "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 0, 0, 1001, "" },
        { "chunk longer than its size", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", 1, 0, 1001,
            "a" },
    };
    for (const auto& c : cases) {
        for (const std::size_t pieceSize : { std::size_t { 1 }, std::size_t { 7 }, std::size_t { 10'000 } }) {
            const Reading r(MessageReader::Kind::Request, c.bytes, pieceSize);
            cr_assert_eq(r.heads, c.heads, "%s, pieces of %zu: %d heads", c.name, pieceSize, r.heads);
            cr_assert_eq(r.ends, c.ends, "%s, pieces of %zu: %d ends", c.name, pieceSize, r.ends);
            cr_assert_eq(r.fault, c.fault, "%s, pieces of %zu: fault %d", c.name, pieceSize, r.fault);
            cr_assert(r.body == c.body, "%s, pieces of %zu: body '%s'", c.name, pieceSize, r.body.c_str());
        }
    }
}

Test(message_reader, a_response_without_length_ends_with_the_stream)
{
    const Reading r(MessageReader::Kind::Response, "HTTP/1.1 200 OK\r\n\r\nabc", 2);
    cr_assert_eq(r.ends, 1);
    cr_assert(r.body == "abc");
}

Test(message_reader, an_interim_response_is_skipped)
{
    const Reading r(MessageReader::Kind::Response,
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", 3);
    cr_assert_eq(r.heads, 1);
    cr_assert(r.body == "x");
}

Test(message_reader, bytes_that_are_not_a_response_are_a_fault)
{
    for (const char* bytes : { "HELO 200 OK\r\n\r\n", "\x16\x03\x01\r\n\r\n", "HTTP/1.1 abc\r\n\r\n" })
        cr_assert_eq(Reading(MessageReader::Kind::Response, bytes, 4).fault, 1001, "%s", bytes);
}

Test(message_reader, random_bytes_end_in_a_fault_or_an_incomplete_message)
{
    cr_assert(rc::check([](const std::string& bytes) {
        const Reading r(MessageReader::Kind::Request, bytes + "\r\n\r\n", 3);
        RC_ASSERT(r.fault == 0 || r.fault == 1001 || r.fault == 1002 || r.fault == 1003);
    }));
}

Test(completion_events, events_are_classified_independently_of_how_the_input_is_split)
{
    const std::string bytes = ": comment\n\n"
                              "data: "
                              "{\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"x\\\"finish_reason\\\":\\\"stop\"},"
                              "\"finish_reason\":null}]}\n\n"
                              "data: {\"choices\":[{\"delta\":{},\"finish_reason\": \"stop\"}]}\n\n"
                              "data: [DONE]\n\n";
    for (std::size_t pieceSize = 1; pieceSize <= bytes.size(); ++pieceSize) {
        forwarding::EventReader reader;
        std::string kinds;
        for (std::size_t at = 0; at < bytes.size(); at += pieceSize) {
            reader.feed(bytes.substr(at, pieceSize), [&](const forwarding::StreamEvent& streamEvent) {
                const auto data = forwarding::eventData(streamEvent.bytes);
                if (data.empty())
                    return true;
                const auto event = requests::classifyEvent(data);
                kinds += event.isDone ? 'D' : event.isFinish ? 'F' : event.hasContent ? 'C' : '?';
                return true;
            });
        }
        cr_assert(kinds == "CFD", "pieces of %zu: %s", pieceSize, kinds.c_str());
    }
}

/// Found by fuzz_test under the sanitizers: POCO converts any number to its enumeration of statuses.
Test(message_reader, a_response_with_a_status_out_of_range_is_rejected)
{
    for (const char* status : { "999", "099", "2000", "20", "OK", "-10" }) {
        errors::ResultCode code = errors::ResultCode::Ok;
        bool hasHead = false;
        http::MessageReader::Hooks hooks;
        hooks.onResponseHead = [&](const Poco::Net::HTTPResponse&) { hasHead = true; };
        hooks.onError = [&](errors::ResultCode fault, const std::string&) { code = fault; };
        http::MessageReader reader(http::MessageReader::Kind::Response, http::Limits(), std::move(hooks));
        reader.feed(std::string("HTTP/1.1 ") + status + " x\r\nContent-Length: 0\r\n\r\n");
        cr_assert(!hasHead && code == errors::ResultCode::MalformedRequest, "%s", status);
    }
}
