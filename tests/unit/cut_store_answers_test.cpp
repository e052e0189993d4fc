#include "fleet/UnframedServer.h"
#include "platform/StoreClient.h"

#include "goldcrestcleat/store/RowStore.h"

#include <criterion/criterion.h>

#include <optional>

using namespace goldcrestcleat;
using harness::UnframedServer;

// Guards against taking an answer of the store that has broken off for a whole one, which would lose changes.
Test(cut_store_answers, a_part_of_an_answer_without_a_length_is_no_answer)
{
    const std::string whole
        = R"({"rows":[{"part":"","key":"a","ver":4,"value":"eA=="},{"part":"","key":"b","ver":5,"removed":true}],"ver":7})";
    // Answers with as many bytes as the version that the request names.
    UnframedServer server([&](const Poco::Net::HTTPRequest& request) -> UnframedServer::Reply {
        const std::string name = "afterRev=";
        const auto size = std::stoul(request.getURI().substr(request.getURI().find(name) + name.size()));
        return { "Content-Type: application/json\r\n", whole.substr(0, size) };
    });
    loop::EventLoop loop;
    const store::RowStore rows = platform::makeStore(loop, server.address());
    for (std::size_t size = 0; size <= whole.size(); ++size) {
        std::optional<store::RowSet> answer;
        rows.watch("t", size, 0, [&](const store::RowSet& set) { answer = set; });
        while (!answer)
            loop.runOnce();
        const bool isWhole = size == whole.size();
        cr_assert_eq(answer->outcome == store::ReadOutcome::Answered, isWhole, "%zu bytes", size);
        cr_assert_eq(answer->rows.size(), isWhole ? 2 : 0, "%zu bytes", size);
        cr_assert_eq(answer->version, isWhole ? 7 : 0, "%zu bytes", size);
    }
}
