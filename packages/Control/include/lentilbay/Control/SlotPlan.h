// Pure function that decides how many slots of each endpoint each entry may use.
//
// Demand is served in strict rank order, and round-robin among entries of one rank. Remaining slots are lent
// to entries of the same data centre, so that a request arriving there finds a free slot without a round
// trip.
#pragma once

#include "lentilbay/Model/Configuration.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace lentilbay {

using UseByRank = std::array<uint32_t, maxTiers>;

/// Input of a plan. Pools, endpoints and entries are identified by their index.
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
        /// Whether slots without demand are lent to this entry.
        bool receivesIdleSlots = false;
        std::vector<Demand> demands;
        /// By endpoint: requests in flight, and slots that the entry may hold.
        std::vector<UseByRank> uses;
        std::vector<uint32_t> held;
        /// By pool: slots recalled from the entry and not yet released.
        std::vector<uint32_t> recalled;
    };

    size_t pools = 0;
    std::vector<EndpointCapacity> endpoints;
    std::vector<Entry> entries;
    /// Where the round-robin among entries starts (modulo their number); advances with each plan.
    size_t firstEntry = 0;
};

struct PlannedRecall {
    size_t entry = 0;
    size_t pool = 0;
    /// Only work of a greater rank is recalled.
    int forRank = 0;
    uint32_t slots = 0;

    bool operator==(const PlannedRecall&) const = default;
};

struct SlotPlan {
    /// By entry and endpoint: the slots that the entry should hold, including those in use.
    std::vector<std::vector<uint32_t>> targets;
    /// By pool: the greatest rank that may be dispatched; less than that of the lowest tier while a higher
    /// tier waits.
    std::vector<int> admittedRank;
    /// By pool: slots without use or demand.
    std::vector<uint32_t> freeSlots;
    std::vector<PlannedRecall> recalls;
};

SlotPlan planSlots(const SlotProblem& problem);

} // namespace lentilbay
