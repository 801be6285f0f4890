// Tests that the tables of result codes and log events in docs/ equal those in the code.
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/ResultCode.h"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace lentilbay {
namespace {

std::vector<std::string> tableRows(const std::string& name, const std::string& prefix)
{
    std::ifstream in(std::string(LENTILBAY_SOURCE_DIR) + "/docs/" + name);
    std::vector<std::string> rows;
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("| " + prefix))
            rows.push_back(line);
    }
    return rows;
}

TEST(CodeTables, ResultCodesMatchTheDocs)
{
    std::vector<std::string> expected;
    for (const auto& row : resultCodeTable()) {
        std::ostringstream out;
        out << "| " << printed(row.code) << " | " << row.name << " | " << row.httpStatus << " | "
            << row.meaning << " |";
        expected.push_back(out.str());
    }
    EXPECT_EQ(tableRows("ResultCodes.md", "LB-"), expected) << "run utils/code-tables";
}

TEST(CodeTables, EventsMatchTheDocs)
{
    std::vector<std::string> expected;
    for (const auto& row : eventTable()) {
        std::ostringstream out;
        out << "| LE-" << static_cast<unsigned>(row.event) << " | " << row.name << " | " << row.level << " | "
            << row.meaning << " |";
        expected.push_back(out.str());
    }
    EXPECT_EQ(tableRows("Events.md", "LE-"), expected) << "run utils/code-tables";
}

TEST(CodeTables, NumbersAscendAndNamesDiffer)
{
    const auto& codes = resultCodeTable();
    for (size_t i = 1; i < codes.size(); ++i) {
        EXPECT_LT(codes[i - 1].code, codes[i].code);
        EXPECT_NE(codes[i - 1].name, codes[i].name);
    }
    const auto& events = eventTable();
    for (size_t i = 1; i < events.size(); ++i)
        EXPECT_LT(events[i - 1].event, events[i].event);
}

TEST(Log, JsonEscapesFieldValues)
{
    EXPECT_EQ(formatEvent(Event::DaemonStarted, { { "name", std::string("a\"b\n") }, { "n", int64_t { 3 } } },
                  LogFormat::JsonLines),
        R"("event":"LE-100","name":"DaemonStarted","name":"a\"b\u000a","n":3)");
}

} // namespace
} // namespace lentilbay
