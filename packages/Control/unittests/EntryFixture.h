// A test fixture with an entry controller on a blackboard with a small configuration.
#pragma once

#include "lentilbay/Control/EntryController.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace lentilbay {

/// Two tiers ("gold" rank 0, "bronze" rank 1), an idempotent model "edit" on e1 and e2, and a non-idempotent
/// plain service "book" on a1.
class EntryFixture : public ::testing::Test {
protected:
    EntryFixture()
        : m_entry(m_blackboard, {})
    {
        applyConfiguration(m_blackboard, std::make_shared<Configuration>(configuration()));
        grantAll(1, TimePoint(std::chrono::hours(1)));
    }

    static Configuration configuration()
    {
        using namespace std::chrono_literals;
        Configuration out;
        out.version = 1;
        out.tiers = { { .name = TierId("gold"), .rank = 0, .answerWithin = 10s },
            { .name = TierId("bronze"), .rank = 1 } };
        out.organisations
            = { { .name = OrganisationId("press"), .tiers = { TierId("gold"), TierId("bronze") } },
                  { .name = OrganisationId("society"), .tiers = { TierId("gold"), TierId("bronze") } } };
        out.services = { { .name = ServiceId("edit") },
            { .name = ServiceId("book"), .kind = ServiceKind::Plain, .idempotent = false } };
        out.endpoints = { { .name = EndpointId("e1"), .services = { ServiceId("edit") }, .slots = 1 },
            { .name = EndpointId("e2"), .services = { ServiceId("edit") }, .slots = 1 },
            { .name = EndpointId("a1"), .services = { ServiceId("book") }, .slots = 1 } };
        return out;
    }

    void grantAll(uint32_t slots, TimePoint expiresAt)
    {
        for (auto& it : m_blackboard.endpoints)
            it.grant = { .slots = slots, .expiresAt = expiresAt };
    }

    static Arrival arrival(
        const std::string& id, const std::string& tier = "gold", const std::string& service = "edit")
    {
        return { .id = RequestId(id),
            .organisation = OrganisationId("press"),
            .tier = TierId(tier),
            .service = ServiceId(service),
            .promptTokens = 100,
            .maxAnswerTokens = 50,
            .idempotencyKey = service == "book" ? "key-" + id : "" };
    }

    /// The commands since the last call: a dispatch as "request@endpoint", the others as "claim request",
    /// "cancel request LB-number" and "refuse request LB-number ran".
    std::vector<std::string> commands()
    {
        std::vector<std::string> out;
        for (const auto& command : m_entry.takeCommands())
            out.push_back(std::visit([](const auto& it) { return printCommand(it); }, command));
        return out;
    }

    bool dispatch(const std::string& id, TimePoint now) { return m_entry.mayDispatch(RequestId(id), now); }
    void end(const std::string& id, AnswerEnd end, TimePoint now)
    {
        m_entry.answerEnded(RequestId(id), end, now);
    }

    static std::string printCommand(const ClaimCommand& it) { return "claim " + it.id.text(); }
    static std::string printCommand(const DispatchCommand& it)
    {
        return it.id.text() + "@" + it.endpoint.text();
    }
    static std::string printCommand(const CancelCommand& it)
    {
        return "cancel " + it.id.text() + " " + printed(it.reason.code);
    }
    static std::string printCommand(const RefuseCommand& it)
    {
        return "refuse " + it.id.text() + " " + printed(it.failure.code) + " " + std::string(printed(it.ran));
    }

    Blackboard m_blackboard;
    EntryController m_entry;
};

} // namespace lentilbay
