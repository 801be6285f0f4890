// For random sequences of events: each request is dispatched at most once and gets exactly one outcome, and
// all slots and counts are released in the end.
#include "EntryFixture.h"

#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

/// An entry controller driven by random events and by random but valid results of its commands.
class RandomRun : public EntryFixture {
public:
    void TestBody() override { }

    void performAction(int action)
    {
        m_now += std::chrono::milliseconds(*rc::gen::inRange(0, 400));
        switch (action) {
        case 0:
            arrive();
            break;
        case 1:
            grantAll(*rc::gen::inRange(0U, 4U), m_now + 3s);
            m_blackboard.endpoints[0].leaving = *rc::gen::inRange(0, 4) == 0;
            m_blackboard.endpoints[1].grant.lowestRank = *rc::gen::inRange(0, 2);
            break;
        case 2:
            for (auto& pool : m_blackboard.pools) {
                pool.occupancy = { .lowestServedRank = *rc::gen::inRange(-1, 2), .requestedAt = m_now };
                pool.recall.slots = *rc::gen::inRange(0U, 2U);
            }
            break;
        case 3:
            if (const auto id = pickOpenRequest())
                m_entry.callerLeft(*id, m_now);
            break;
        case 4:
            m_blackboard.fenced = *rc::gen::inRange(0, 4) == 0;
            break;
        case 5:
            changeConfiguration();
            break;
        default:
            if (const auto id = pickOpenRequest())
                reportAnswer(*id);
        }
        m_entry.step(m_now);
        executeCommands();
        RC_ASSERT(m_entry.openRequests() == m_open.size());
    }

    void finish()
    {
        m_blackboard.fenced = false;
        applyConfiguration(m_blackboard, std::make_shared<Configuration>(configuration()));
        for (auto& it : m_blackboard.endpoints)
            it.leaving = false;
        for (int i = 0; i < 60'000 && !m_open.empty(); ++i) {
            m_now += 100ms;
            grantAll(4, m_now + 3s);
            for (const auto& id : std::set<RequestId>(m_dispatched))
                m_entry.answerEnded(id, AnswerEnd::Whole, m_now);
            m_entry.step(m_now);
            executeCommands();
        }
        RC_ASSERT(m_open.empty());
        for (const auto& it : m_blackboard.endpoints)
            RC_ASSERT(it.inFlightTotal() == 0U);
        for (const auto& pool : m_blackboard.pools) {
            RC_ASSERT(pool.waiting == decltype(pool.waiting) {});
            RC_ASSERT(pool.urgent == decltype(pool.urgent) {});
        }
    }

private:
    void arrive()
    {
        const auto id = "r" + std::to_string(m_next++);
        auto request = arrival(id, *rc::gen::inRange(0, 2) == 0 ? "gold" : "bronze",
            *rc::gen::inRange(0, 4) == 0 ? "book" : "edit");
        request.prefixHashes = { *rc::gen::inRange<uint64_t>(1, 5) };
        if (*rc::gen::inRange(0, 2) == 0)
            request.deadline = std::chrono::milliseconds(*rc::gen::inRange(1, 4'000));
        m_open.insert(request.id);
        m_entry.arrive(request, m_now);
    }

    void changeConfiguration()
    {
        auto next = configuration();
        next.version = ++m_version;
        if (*rc::gen::inRange(0, 2) == 0)
            next.endpoints.erase(next.endpoints.begin() + *rc::gen::inRange(0, 2));
        applyConfiguration(m_blackboard, std::make_shared<Configuration>(next));
    }

    std::optional<RequestId> pickOpenRequest() const
    {
        if (m_open.empty())
            return std::nullopt;
        auto it = m_open.begin();
        std::advance(it, *rc::gen::inRange<size_t>(0, m_open.size()));
        return *it;
    }

    void reportAnswer(const RequestId& id)
    {
        m_entry.tokensArrived(id, 5, m_now);
        if (*rc::gen::inRange(0, 2) == 0)
            m_entry.answerEnded(
                id, *rc::gen::element(AnswerEnd::Whole, AnswerEnd::Broken, AnswerEnd::Refused), m_now);
    }

    void executeCommands()
    {
        for (auto commands = m_entry.takeCommands(); !commands.empty(); commands = m_entry.takeCommands()) {
            for (const auto& command : commands)
                std::visit([&](const auto& it) { execute(it); }, command);
        }
        for (const auto& it : m_entry.takeOutcomes()) {
            RC_ASSERT(m_open.erase(it.id) == 1U);
            RC_ASSERT(it.ran != Executed::No || it.code == ResultCode::EndpointRefused
                || !m_dispatched.contains(it.id));
            m_dispatched.erase(it.id);
        }
    }

    void execute(const ClaimCommand& it)
    {
        m_entry.claimed(it.id,
            *rc::gen::element(
                ClaimResult::Held, ClaimResult::Held, ClaimResult::HeldElsewhere, ClaimResult::Unavailable),
            m_now);
    }

    void execute(const DispatchCommand& it)
    {
        if (*rc::gen::inRange(0, 4) == 0) {
            m_entry.connectFailed(it.id, m_now);
            return;
        }
        if (!m_entry.mayDispatch(it.id, m_now))
            return;
        RC_ASSERT(m_everDispatched.insert(it.id).second);
        RC_ASSERT(m_blackboard.findEndpointState(it.endpoint) != nullptr);
        RC_ASSERT(!m_blackboard.findEndpointState(it.endpoint)->leaving);
        RC_ASSERT(m_now < m_blackboard.findEndpointState(it.endpoint)->grant.expiresAt);
        m_dispatched.insert(it.id);
    }

    void execute(const CancelCommand& it) { m_entry.answerEnded(it.id, AnswerEnd::Cancelled, m_now); }
    void execute(const RefuseCommand&) { }

    TimePoint m_now {};
    int m_next = 0;
    uint64_t m_version = 1;
    std::set<RequestId> m_open;
    std::set<RequestId> m_dispatched;
    std::set<RequestId> m_everDispatched;
};

RC_GTEST_PROP(EntryProperty, AtMostOneDispatchAndExactlyOneOutcome, ())
{
    RandomRun run;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i)
        run.performAction(*rc::gen::inRange(0, 12));
    run.finish();
}

} // namespace
} // namespace lentilbay
