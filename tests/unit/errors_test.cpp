#include "goldcrestcleat/errors/ResultCode.h"
#include "goldcrestcleat/requests/Answers.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <set>
#include <sstream>

using namespace goldcrestcleat;

namespace {

std::string documentedRow(const errors::ResultInfo& row)
{
    const std::string http = row.httpStatus == 0 ? "-" : std::to_string(row.httpStatus);
    return "| " + std::to_string(static_cast<int>(row.code)) + " | " + row.name + " | " + http + " | "
        + errors::toString(row.executed) + " | ";
}

} // namespace

Test(errors, the_documented_table_is_the_table_of_the_code)
{
    std::ifstream file(SOURCE_FOLDER "/docs/ERRORS.md");
    std::stringstream text;
    text << file.rdbuf();
    std::size_t rows = 0;
    for (const auto& row : errors::allResults()) {
        if (row.code == errors::ResultCode::Ok)
            continue;
        ++rows;
        cr_assert(text.str().find(documentedRow(row)) != std::string::npos, "missing or different: %s",
            documentedRow(row).c_str());
    }
    std::size_t documented = 0;
    std::string line;
    while (std::getline(text, line))
        documented += line.size() > 3 && line[0] == '|' && std::isdigit(static_cast<unsigned char>(line[2]));
    cr_assert_eq(documented, rows);
}

Test(errors, numbers_and_names_are_unique)
{
    std::set<int> numbers;
    std::set<std::string> names;
    for (const auto& row : errors::allResults()) {
        cr_assert(numbers.insert(static_cast<int>(row.code)).second);
        cr_assert(names.insert(row.name).second);
    }
}

Test(errors, an_exception_carries_number_name_and_context)
{
    const errors::RequestError e(errors::ResultCode::UnknownService, "rota2");
    cr_assert_str_eq(e.what(), "[1009 UnknownService] rota2");
}

Test(errors, a_refusal_says_whether_the_request_was_run)
{
    requests::Refusal refusal;
    refusal.code = errors::ResultCode::NoUpstream;
    cr_assert(nlohmann::json::parse(requests::refusalBody(refusal, "r1"))["error"]["executed"] == "no");
    refusal.executed = errors::Executed::Unknown;
    cr_assert(nlohmann::json::parse(requests::refusalBody(refusal, "r1"))["error"]["executed"] == "unknown");
}
