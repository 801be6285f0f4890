// Tests that logging never blocks the process, whether the reader of standard output stalls or has closed it.
#include "../lib/BoundedOutput.h"

#include <array>
#include <csignal>
#include <gtest/gtest.h>
#include <spdlog/logger.h>

namespace lentilbay {
namespace {

class BoundedOutputTest : public testing::Test {
protected:
    BoundedOutputTest()
    {
        std::signal(SIGPIPE, SIG_IGN);
        EXPECT_EQ(pipe(m_ends.data()), 0);
        sink = std::make_shared<BoundedOutputSink>(m_ends[1]);
        logger = std::make_unique<spdlog::logger>("test", sink);
        logger->set_pattern("%v");
    }
    ~BoundedOutputTest() override
    {
        closeReader();
        close(m_ends[1]);
    }

    void closeReader()
    {
        if (m_ends[0] >= 0)
            close(m_ends[0]);
        m_ends[0] = -1;
    }

    /// Reads the current content of the pipe.
    std::string readAll() const
    {
        fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
        std::string out;
        std::array<char, 65'536> buf {};
        for (ssize_t n = 0; (n = read(m_ends[0], buf.data(), buf.size())) > 0;)
            out.append(buf.data(), static_cast<size_t>(n));
        return out;
    }

    /// Many times the capacity of pipe and buffer.
    static constexpr int lineCount = 20'000;

    void writeLines() const
    {
        for (int i = 0; i < lineCount; ++i)
            logger->info("line {:050}", i);
    }

    std::shared_ptr<BoundedOutputSink> sink;
    std::unique_ptr<spdlog::logger> logger;

private:
    std::array<int, 2> m_ends { -1, -1 };
};

TEST_F(BoundedOutputTest, AStalledReaderDoesNotBlockAndLearnsTheNumberOfDroppedLines)
{
    writeLines();
    const auto dropped = sink->dropped();
    EXPECT_GT(dropped, 0U);
    // The reader continues: the buffered lines come first, in order and complete.
    std::string seen;
    for (int i = 0; i < 10; ++i) {
        seen += readAll();
        logger->info("after");
    }
    seen += readAll();
    EXPECT_EQ(seen.find("line "), 0U);
    EXPECT_NE(
        seen.find("\"event\":\"LE-109\",\"name\":\"LogLinesDropped\",\"dropped\":" + std::to_string(dropped)),
        std::string::npos);
    EXPECT_NE(seen.find("after\n"), std::string::npos);
    EXPECT_EQ(sink->dropped(), dropped);
}

TEST_F(BoundedOutputTest, AClosedReaderDoesNotBlock)
{
    closeReader();
    writeLines();
    EXPECT_EQ(sink->dropped(), static_cast<uint64_t>(lineCount));
}

TEST_F(BoundedOutputTest, AFastReaderGetsAllLines)
{
    std::string seen;
    for (int i = 0; i < 1000; ++i) {
        logger->info("x");
        seen += readAll();
    }
    EXPECT_EQ(sink->dropped(), 0U);
    EXPECT_EQ(seen.size(), 2000U);
}

} // namespace
} // namespace lentilbay
