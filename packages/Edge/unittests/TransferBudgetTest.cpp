// Tests how much of a link a daemon gives to documents for its peers.
#include "lentilbay/Edge/TransferBudget.h"

#include <gtest/gtest.h>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

constexpr double link = 2.5e6;
constexpr size_t document = 460'000;
constexpr TimePoint start { 100s };

TEST(TransferBudgetTest, ManyPeersAtOnceGotADocumentEach)
{
    TransferBudget budget(link);
    size_t sent = 0;
    for (auto now = start; now < start + 10s; now += 5ms)
        sent += budget.admit(document, now) ? document : 0;
    EXPECT_LE(static_cast<double>(sent), 10 * link * TransferBudget::linkFraction + document);
    EXPECT_GE(static_cast<double>(sent), 10 * link * TransferBudget::linkFraction - document);
}

TEST(TransferBudgetTest, FirstPeerIsServedAtOnce)
{
    TransferBudget budget(link);
    EXPECT_TRUE(budget.admit(100 * document, start));
    EXPECT_FALSE(budget.admit(document, start + 1s));
}

TEST(TransferBudgetTest, SmallDocumentsAreServedBesideALargeOne)
{
    TransferBudget budget(link);
    EXPECT_TRUE(budget.admit(document, start));
    EXPECT_TRUE(budget.admit(100, start));
    EXPECT_FALSE(budget.admit(document, start + 1ms));
}

TEST(TransferBudgetTest, LinkOfUnknownBandwidthHasNoBound)
{
    TransferBudget budget(0);
    for (int i = 0; i < 100; ++i)
        EXPECT_TRUE(budget.admit(document, start));
}

} // namespace
} // namespace lentilbay::edge
