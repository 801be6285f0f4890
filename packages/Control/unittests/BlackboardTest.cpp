// Tests applyConfiguration() and the slots that a grant allows.
#include "lentilbay/Control/Blackboard.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

std::shared_ptr<Configuration> twoEndpoints()
{
    auto out = std::make_shared<Configuration>();
    out->services = { { .name = ServiceId("edit") } };
    out->endpoints = { { .name = EndpointId("e1"), .services = { ServiceId("edit") } },
        { .name = EndpointId("e2"), .services = { ServiceId("edit") } } };
    return out;
}

TEST(Blackboard, KeepsTheStateOfRemainingEndpoints)
{
    Blackboard blackboard;
    applyConfiguration(blackboard, twoEndpoints());
    blackboard.findEndpointState(EndpointId("e2"))->inFlight[1] = 3;
    auto next = twoEndpoints();
    next->endpoints.erase(next->endpoints.begin());
    applyConfiguration(blackboard, next);
    EXPECT_EQ(blackboard.findEndpointState(EndpointId("e1")), nullptr);
    EXPECT_EQ(blackboard.findEndpointState(EndpointId("e2"))->inFlightTotal(), 3U);
    EXPECT_EQ(blackboard.findPool(ServiceId("edit"))->endpoints, std::vector<size_t> { 0 });
}

TEST(Blackboard, AnExpiredGrantOrALeavingEndpointHasNoFreeSlot)
{
    EndpointState state;
    state.grant = { .slots = 2, .expiresAt = TimePoint(3s) };
    state.inFlight[0] = 1;
    EXPECT_EQ(state.freeSlots(TimePoint(2s)), 1U);
    EXPECT_EQ(state.freeSlots(TimePoint(3s)), 0U);
    state.leaving = true;
    EXPECT_EQ(state.freeSlots(TimePoint(2s)), 0U);
}

} // namespace
} // namespace lentilbay
