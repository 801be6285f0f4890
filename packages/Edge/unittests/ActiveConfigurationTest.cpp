// Tests which of several documents of the configuration is in force, and what confirms it.
#include "lentilbay/Edge/ActiveConfiguration.h"

#include <gtest/gtest.h>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;
using Outcome = ActiveConfiguration::Outcome;

constexpr TimePoint now { 100s };

StoreVersion at(uint64_t number, uint64_t era = 1) { return { .era = era, .number = number }; }

class ActiveConfigurationTest : public testing::Test {
protected:
    Outcome applyRow(const std::string& text, std::optional<uint64_t> version, StoreVersion row)
    {
        return configuration.applyRow({ text, version }, { .version = row });
    }
    Outcome applySnapshot(const std::string& text, std::optional<uint64_t> version, StoreVersion row)
    {
        return configuration.applyRow({ text, version }, { .version = row, .isFromSnapshot = true });
    }

    ActiveConfiguration configuration;
};

TEST_F(ActiveConfigurationTest, NewestVersionIsInForce)
{
    // Guards against an older document, or an answer that is late, which replaces the newest configuration.
    EXPECT_EQ(applyRow("a", 6, at(3)), Outcome::InForce);
    EXPECT_EQ(applyRow("b", 5, at(4)), Outcome::Older);
    EXPECT_EQ(applyRow("a", 6, at(5)), Outcome::Same);
    EXPECT_EQ(applyRow("c", 6, at(6)), Outcome::InForce) << "written later";
    EXPECT_EQ(configuration.applyRow({ "a", 6 }, { .version = at(5), .isSuperseded = true }), Outcome::Kept)
        << "an answer that is late";
    EXPECT_EQ(configuration.text(), "c");
    EXPECT_TRUE(configuration.mayConfirm(now, 6));
    EXPECT_FALSE(configuration.mayConfirm(now, 7)) << "a peer has a newer version";
}

TEST_F(ActiveConfigurationTest, AnswerWithoutADocumentConcernsTheOneOfTheCall)
{
    // Guards against a peer's view that confirms a document which the peer does not have: the store's answer
    // had replaced the configuration between the call and the peer's answer.
    applyRow("a", 6, at(3));
    const auto asked = configuration.hash();
    const ConfigurationView view { .covered = at(9), .changed = at(9) };
    EXPECT_EQ(configuration.applySameDocument(asked, view, at(4)), Outcome::Same);
    applyRow("b", 7, at(4));
    EXPECT_EQ(configuration.applySameDocument(asked, view, at(4)), Outcome::Kept);
}

TEST_F(ActiveConfigurationTest, RowThatCannotBeDecodedIsNotContained)
{
    // Guards against a daemon that states a view of changes which its configuration lacks.
    applyRow("a", 6, at(3));
    EXPECT_TRUE(configuration.containsRow());
    EXPECT_EQ(applyRow("?", std::nullopt, at(4)), Outcome::Invalid);
    EXPECT_FALSE(configuration.containsRow());
    EXPECT_TRUE(configuration.isNewestInvalid());
    EXPECT_TRUE(configuration.mayConfirm(now, 6)) << "what nobody can decode is in force nowhere";
    EXPECT_FALSE(configuration.mayConfirm(now, 7)) << "a peer can decode it";
    // A peer's document that can be decoded is not that of the row.
    EXPECT_EQ(configuration.applyPeerDocument({ "a", 6 }, std::nullopt, at(4)), Outcome::Same);
    EXPECT_EQ(configuration.applyPeerDocument({ "b", 7 }, std::nullopt, at(4)), Outcome::InForce);
    EXPECT_FALSE(configuration.containsRow());
    EXPECT_EQ(applyRow("c", 8, at(5)), Outcome::InForce);
    EXPECT_TRUE(configuration.containsRow());
}

TEST_F(ActiveConfigurationTest, RowOfAnOlderCopyRestoresNoDocumentOfTheSameVersion)
{
    // Guards against a withdrawn key that is accepted again after the store has come back from a copy.
    applyRow("with key", 6, at(8));
    applyRow("without key", 6, at(9));
    EXPECT_EQ(applySnapshot("with key", 6, at(8, 2)), Outcome::Kept);
    EXPECT_EQ(configuration.text(), "without key");
    EXPECT_FALSE(configuration.mayConfirm(now, 6)) << "the row may have been written later as well";
    EXPECT_FALSE(configuration.containsRow());
    EXPECT_EQ(applyRow("without key", 6, at(9, 2)), Outcome::Same) << "the operator has written it again";
    EXPECT_TRUE(configuration.mayConfirm(now, 6));
    EXPECT_TRUE(configuration.containsRow());
}

TEST_F(ActiveConfigurationTest, CopiedRowThatIsReadAgainRestoresNoDocumentOfTheSameVersion)
{
    // Guards against a row of an older copy that counts as written later when its era is read once more.
    applyRow("without key", 6, at(9));
    EXPECT_EQ(applySnapshot("with key", 6, at(8, 2)), Outcome::Kept);
    EXPECT_EQ(applySnapshot("with key", 6, at(8, 2)), Outcome::Kept);
    EXPECT_EQ(applyRow("with key", 6, at(8, 2)), Outcome::Kept) << "reported as a change";
    EXPECT_EQ(configuration.text(), "without key");
    EXPECT_FALSE(configuration.mayConfirm(now, 6));
}

TEST_F(ActiveConfigurationTest, RowThatWasWrittenAfterTheCopyReplacesOneOfTheSameVersion)
{
    // Guards against a change that is taken for part of the copy and stays out of force, and against a copy
    // of an earlier era that counts as written later because its number is greater.
    applyRow("a", 6, at(9));
    EXPECT_EQ(applyRow("b", 6, at(7, 2)), Outcome::InForce) << "a change since the snapshot of this era";
    EXPECT_EQ(applySnapshot("a", 6, at(9, 3)), Outcome::Kept) << "the copy may be of the first era";
    EXPECT_EQ(applySnapshot("c", 6, at(10, 3)), Outcome::InForce) << "the second row of this era";
    EXPECT_EQ(applySnapshot("d", 6, at(1, 4)), Outcome::Kept);
    EXPECT_EQ(applySnapshot("e", 7, at(2, 4)), Outcome::InForce);
    EXPECT_TRUE(configuration.mayConfirm(now, 7));
}

TEST_F(ActiveConfigurationTest, PeersDocumentOfTheSameVersionReplacesByANewerViewOfTheSameEraOnly)
{
    // Guards against a peer that has read less, or an older copy, and whose document restores a withdrawn
    // key.
    applyRow("a", 6, at(8));
    const auto apply = [&](std::optional<ConfigurationView> view, StoreVersion own) {
        return configuration.applyPeerDocument({ "b", 6 }, view, own);
    };
    EXPECT_EQ(apply(std::nullopt, at(8)), Outcome::Kept);
    EXPECT_EQ(apply(ConfigurationView { .covered = at(7), .changed = at(7) }, at(8)), Outcome::Kept);
    EXPECT_EQ(apply(ConfigurationView { .covered = at(9, 2), .changed = at(9, 2) }, at(8)), Outcome::Kept)
        << "the peer may have read it from an older copy";
    EXPECT_EQ(apply(ConfigurationView { .covered = at(9), .changed = at(9) }, at(8)), Outcome::InForce);
}

TEST_F(ActiveConfigurationTest, PeerThatHasReadFurtherDecidesOnACopiedRow)
{
    // Guards against a peer that has read only the copy and confirms the configuration in force, and against
    // a daemon that confirms nothing although a peer has found the same document written again.
    applyRow("a", 6, at(9));
    applySnapshot("b", 6, at(8, 2));
    EXPECT_EQ(configuration.applySameDocument(configuration.hash(),
                  ConfigurationView { .covered = at(8, 2), .changed = at(8, 2) }, at(8, 2)),
        Outcome::Same);
    EXPECT_FALSE(configuration.mayConfirm(now, 6));
    EXPECT_EQ(configuration.applyPeerDocument(
                  { "a", 6 }, ConfigurationView { .covered = at(10, 2), .changed = at(10, 2) }, at(8, 2)),
        Outcome::Same);
    EXPECT_TRUE(configuration.mayConfirm(now, 6));
}

TEST_F(ActiveConfigurationTest, CopiedRowOfTheSameVersionDoesNotConfirmAPeersDocument)
{
    // Guards against a row of the copy that is skipped as unchanged, so that the document read from a peer is
    // confirmed although the row may have been written later.
    applyRow("a", 6, at(8));
    EXPECT_EQ(configuration.applyPeerDocument(
                  { "b", 6 }, ConfigurationView { .covered = at(18), .changed = at(18) }, at(8)),
        Outcome::InForce);
    EXPECT_TRUE(configuration.mayConfirm(now, 6));
    EXPECT_EQ(applySnapshot("a", 6, at(8, 2)), Outcome::Kept) << "unchanged since this daemon had read it";
    EXPECT_FALSE(configuration.mayConfirm(now, 6));
    EXPECT_FALSE(configuration.containsRow());
    EXPECT_EQ(applyRow("b", 6, at(19, 2)), Outcome::Same);
    EXPECT_TRUE(configuration.mayConfirm(now, 6));
}

TEST_F(ActiveConfigurationTest, StoreConfirmsNothingBeforeItHasAgainWhatItHasLost)
{
    // Guards against a daemon that had not read a withdrawal before the store lost it, and takes the copy for
    // complete.
    applyRow("a", 6, at(9));
    configuration.enterEra(now);
    EXPECT_FALSE(configuration.mayConfirm(now + 2s, 6));
    EXPECT_TRUE(configuration.mayConfirm(now + 2100ms, 6));
}

} // namespace
} // namespace lentilbay::edge
