#include "UnframedServer.h"
#include "harness/Caller.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat::harness;
using End = UnframedServer::Reply::End;

// Guards against tests that take an answer that has broken off for a whole one.
Test(caller, an_answer_that_breaks_off_is_reported_as_broken)
{
    struct Case {
        const char* name;
        UnframedServer::Reply reply;
        bool isBroken;
    };
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const Case cases[] = {
        { "whole, length", { "", "hello", End::Length }, false },
        { "whole, chunks", { chunked, "5\r\nhello\r\n0\r\n\r\n", End::Close }, false },
        { "whole, neither", { "", "hello", End::Close }, false },
        { "closed, length", { "Content-Length: 10\r\n", "hello", End::Close }, true },
        { "closed between chunks", { chunked, "5\r\nhello\r\n", End::Close }, true },
        { "closed in a chunk", { chunked, "9\r\nhello", End::Close }, true },
        { "reset, length", { "Content-Length: 10\r\n", "hello", End::Reset }, true },
        { "reset between chunks", { chunked, "5\r\nhello\r\n", End::Reset }, true },
        { "reset, neither", { "", "hello", End::Reset }, true },
    };
    for (const auto& c : cases) {
        UnframedServer server([&](const Poco::Net::HTTPRequest&) { return c.reply; });
        const auto answer = call(server.address(), "GET", "/");
        cr_expect_eq(answer.isBroken, c.isBroken, "%s: status %d '%s'", c.name, answer.status, answer.body.c_str());
        cr_expect(c.isBroken || answer.body == "hello", "%s: '%s'", c.name, answer.body.c_str());
    }
}
