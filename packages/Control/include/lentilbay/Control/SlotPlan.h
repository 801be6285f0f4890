// The pure decision of an owner: which entry may use how many slots of which endpoint.
//
// Demand is served strictly by the ranks of tiers and in turn among entries of one rank. What is left over is
// lent to the entries nearby, so that a request that arrives there finds a slot at once.
#pragma once

#include "lentilbay/Model/Configuration.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace lentilbay {

using UseByRank = std::array<uint32_t, maxTiers>;

/// What the owner knows when it plans. Pools, endpoints and entries are numbered from 0.
struct SlotProblem {
    struct Demand {
        size_t pool = 0;
        int rank = 0;
        uint32_t waiting = 0;
        uint32_t urgent = 0;
    };

    struct EndpointCapacity {
        uint32_t slots = 0;
        std::vector<size_t> pools;
    };

    struct Entry {
        /// Whether slots that nobody wants are lent to it.
        bool takesIdleSlots = false;
        std::vector<Demand> demands;
        /// By endpoint: its requests in flight, and the slots that it may hold.
        std::vector<UseByRank> uses;
        std::vector<uint32_t> held;
        /// By pool: recalled from it and not yet given back.
        std::vector<uint32_t> recalled;
    };

    size_t pools = 0;
    std::vector<EndpointCapacity> endpoints;
    std::vector<Entry> entries;
    /// The entry whose turn it is first; it moves on with each plan.
    size_t firstTurn = 0;
};

struct PlannedRecall {
    size_t entry = 0;
    size_t pool = 0;
    /// Work of a greater rank gives way.
    int forRank = 0;
    uint32_t slots = 0;

    bool operator==(const PlannedRecall&) const = default;
};

struct SlotPlan {
    /// By entry and endpoint: the slots that it should hold, those in use among them.
    std::vector<std::vector<uint32_t>> targets;
    /// By pool: the greatest rank that may be dispatched; less than the lowest tier's where a higher one
    /// waits.
    std::vector<int> admittedRank;
    /// By pool: slots that nobody uses or wants.
    std::vector<uint32_t> freeSlots;
    std::vector<PlannedRecall> recalls;
};

SlotPlan planSlots(const SlotProblem& problem);

} // namespace lentilbay
