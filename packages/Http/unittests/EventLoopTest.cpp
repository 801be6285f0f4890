// Tests of EventLoop, and of HttpServer's closing of connections on it.
#include "lentilbay/Http/EventLoop.h"

#include "lentilbay/Http/Server.h"
#include "lentilbay/Support/SteadyClock.h"

#include <array>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>
#include <thread>
#include <vector>

namespace lentilbay::http {
namespace {

using namespace std::chrono_literals;

/// How long tasks may wait for the loop to be idle.
constexpr Duration delay = 300ms;

TEST(EventLoopTest, TasksRunAfterAllHandlersThatAreReadyAndInOrder)
{
    EventLoop loop;
    std::vector<int> order;
    asio::post(loop.context(), [&] {
        loop.whenIdle([&] { order.push_back(4); }, bootNow() + delay);
        loop.whenIdle(
            [&] {
                order.push_back(5);
                loop.stop();
            },
            bootNow() + delay);
        asio::post(loop.context(), [&] { order.push_back(3); });
        order.push_back(1);
    });
    asio::post(loop.context(), [&] { order.push_back(2); });
    loop.run();
    EXPECT_EQ(order, (std::vector { 1, 2, 3, 4, 5 }));
}

TEST(EventLoopTest, HandlersThatHaveBecomeReadyRunBetweenTasks)
{
    EventLoop loop;
    std::vector<int> order;
    asio::post(loop.context(), [&] {
        loop.whenIdle(
            [&] {
                order.push_back(1);
                asio::post(loop.context(), [&] { order.push_back(2); });
            },
            bootNow() + delay);
        loop.whenIdle(
            [&] {
                order.push_back(3);
                loop.stop();
            },
            bootNow() + delay);
    });
    loop.run();
    EXPECT_EQ(order, (std::vector { 1, 2, 3 }));
}

TEST(EventLoopTest, TaskOfALoopThatIsNeverIdleRunsWithinTheBound)
{
    EventLoop loop;
    std::function<void()> postAgain = [&] { asio::post(loop.context(), [&] { postAgain(); }); };
    const auto begin = bootNow();
    asio::post(loop.context(), [&] {
        loop.whenIdle([&] { loop.stop(); }, bootNow() + delay);
        postAgain();
    });
    loop.run();
    const auto waited = bootNow() - begin;
    EXPECT_GE(waited, delay);
    EXPECT_LT(waited, 2 * delay);
}

TEST(EventLoopTest, TaskThatIsDueAtOnceRunsBeforeHandlersThatAreReady)
{
    EventLoop loop;
    std::vector<int> order;
    asio::post(loop.context(), [&] {
        loop.whenIdle([&] { order.push_back(3); }, bootNow() + delay);
        loop.whenIdle([&] { order.push_back(1); }, bootNow());
        asio::post(loop.context(), [&] {
            order.push_back(2);
            loop.whenIdle([&] { loop.stop(); }, bootNow() + delay);
        });
    });
    loop.run();
    EXPECT_EQ(order, (std::vector { 1, 2, 3 }));
}

TEST(EventLoopTest, TasksThatWereOverdueTogetherHeldHandlersUp)
{
    EventLoop loop;
    constexpr int tasks = 200;
    int runs = 0;
    int runsBeforeTimer = -1;
    asio::steady_timer timer(loop.context(), 5ms);
    timer.async_wait([&](std::error_code) { runsBeforeTimer = runs; });
    asio::post(loop.context(), [&] {
        for (int i = 0; i < tasks; ++i)
            loop.whenIdle(
                [&] {
                    if (++runs == tasks)
                        loop.stop();
                },
                bootNow());
    });
    loop.run();
    EXPECT_EQ(runs, tasks);
    EXPECT_GE(runsBeforeTimer, 0);
    EXPECT_LT(runsBeforeTimer, tasks / 2);
}

TEST(EventLoopTest, LoopWithoutAnythingToWaitForEnds)
{
    EventLoop loop;
    bool hasRun = false;
    asio::post(loop.context(), [&] { loop.whenIdle([&] { hasRun = true; }, bootNow() + delay); });
    loop.run();
    EXPECT_TRUE(hasRun);
}

TEST(EventLoopTest, TaskWaitsForATurnWithoutSpinning)
{
    EventLoop loop;
    asio::steady_timer timer(loop.context(), 50ms);
    int runs = 0;
    asio::post(loop.context(), [&] { loop.whenIdle([&] { ++runs; }, bootNow() + delay); });
    timer.async_wait([&](std::error_code) { loop.stop(); });
    loop.run();
    EXPECT_EQ(runs, 1);
}

/// A server on an event loop, and a client whose first request has been answered.
class IdleCloseTest : public testing::Test {
protected:
    IdleCloseTest()
        : server(loop.context(),
            { .address = { asio::ip::make_address("127.0.0.1"), 0 },
                .limits = [this] { return limits; },
                .handler = [](const std::shared_ptr<Exchange>& it) { it->respond(200, "OK", {}, "answer"); },
                .malformed = {},
                .closed = [this](const ConnectionEnd& it) { ends.push_back(it); },
                .whenIdle = [this](auto task) { loop.whenIdle(std::move(task), bootNow() + delay); } })
        , client(loop.context())
    {
        client.connect({ asio::ip::make_address("127.0.0.1"), server.port() });
        client.non_blocking(true);
        send();
        runFor(20ms);
        EXPECT_EQ(takeAnswers(), 1U);
    }

    void send() { asio::write(client, asio::buffer(get)); }

    void runFor(Duration time)
    {
        asio::steady_timer timer(loop.context(), time);
        bool isOver = false;
        timer.async_wait([&](std::error_code) { isOver = true; });
        while (!isOver) {
            loop.context().restart();
            if (!loop.runOne(bootNow()))
                loop.context().run_one_for(1ms);
        }
    }

    /// Reads what the client has received. Returns the number of answers in it.
    size_t takeAnswers()
    {
        std::array<char, 65'536> buf;
        const std::string received(buf.data(), client.read_some(asio::buffer(buf), end));
        size_t n = 0;
        for (auto at = received.find(status); at != std::string::npos; at = received.find(status, at + 1))
            ++n;
        return n;
    }

    /// Calls `action` in a turn of the event loop in which the timer of an idle connection has expired
    /// before.
    void runAfterIdleTimer(const std::function<void()>& action)
    {
        asio::steady_timer later(loop.context(), limits.idleTimeout + 100ms);
        later.async_wait([&](std::error_code) { action(); });
        std::this_thread::sleep_for(limits.idleTimeout + 150ms);
        runFor(180ms);
    }

    const std::string get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string status = "HTTP/1.1 200";
    EventLoop loop;
    ServerLimits limits { .idleTimeout = 200ms };
    std::vector<ConnectionEnd> ends;
    HttpServer server;
    asio::ip::tcp::socket client;
    std::error_code end;
};

TEST_F(IdleCloseTest, RequestOfTheTurnInWhichItsIdleConnectionWasClosedGotNoAnswer)
{
    runAfterIdleTimer([&] {
        std::this_thread::sleep_for(100ms);
        send();
    });
    EXPECT_EQ(takeAnswers(), 1U);
    EXPECT_FALSE(end);
    EXPECT_TRUE(ends.empty());
}

TEST_F(IdleCloseTest, IdleConnectionIsClosedAfterALongTurn)
{
    runAfterIdleTimer([&] { std::this_thread::sleep_for(100ms); });
    EXPECT_EQ(takeAnswers(), 0U);
    EXPECT_EQ(end, asio::error::eof);
    client.close();
    runFor(20ms);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].reason, CloseReason::IdleTimeout);
    EXPECT_FALSE(ends[0].droppedAfter);
}

TEST_F(IdleCloseTest, IdleConnectionOfALoopThatIsNeverIdleIsClosed)
{
    std::function<void()> postAgain = [&] { asio::post(loop.context(), [&] { postAgain(); }); };
    postAgain();
    runFor(limits.idleTimeout + delay + 100ms);
    EXPECT_EQ(takeAnswers(), 0U);
    EXPECT_EQ(end, asio::error::eof);
    // Ends the posted handlers before what they refer to.
    postAgain = [] {};
    runFor(5ms);
}

TEST_F(IdleCloseTest, RequestThatCrossesACloseIsReported)
{
    runFor(limits.idleTimeout + 50ms);
    send();
    runFor(20ms);
    EXPECT_EQ(takeAnswers(), 0U);
    EXPECT_EQ(end, asio::error::eof);
    client.close();
    runFor(20ms);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].unansweredBytes, get.size());
    ASSERT_TRUE(ends[0].droppedAfter);
    EXPECT_LT(*ends[0].droppedAfter, ends[0].closingFor);
}

} // namespace
} // namespace lentilbay::http
