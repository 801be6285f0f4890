// Plans an owner's slots: demand by rank, recalls for urgent demand, idle slots lent to entries nearby.
#include "lentilbay/Control/SlotPlan.h"

#include <algorithm>
#include <numeric>

namespace lentilbay {
namespace {

uint32_t total(const UseByRank& uses) { return std::accumulate(uses.begin(), uses.end(), 0U); }

/// One entry's demand of one rank in one pool while the plan is made.
struct OpenDemand {
    size_t entry;
    size_t pool;
    uint32_t waiting;
    uint32_t urgent;
};

class Planner {
public:
    explicit Planner(const SlotProblem& problem)
        : m_problem(problem)
        , m_endpointsOf(problem.pools)
    {
        for (size_t k = 0; k < problem.endpoints.size(); ++k) {
            for (const auto pool : problem.endpoints[k].pools)
                m_endpointsOf[pool].push_back(k);
        }
        startFromUses();
    }

    SlotPlan plan()
    {
        for (int rank = 0; rank < maxTiers; ++rank)
            serveRank(rank);
        lendIdleSlots();
        return std::move(m_plan);
    }

private:
    void startFromUses()
    {
        m_plan.admittedRank.assign(m_problem.pools, maxTiers - 1);
        m_plan.freeSlots.assign(m_problem.pools, 0);
        for (const auto& endpoint : m_problem.endpoints)
            m_left.push_back(endpoint.slots);
        for (const auto& entry : m_problem.entries) {
            m_plan.targets.emplace_back();
            m_preemptible.push_back(entry.uses);
            for (size_t k = 0; k < m_left.size(); ++k) {
                const auto used = total(entry.uses[k]);
                m_plan.targets.back().push_back(used);
                m_left[k] -= std::min(m_left[k], used);
            }
        }
    }

    std::vector<OpenDemand> demandsOf(int rank) const
    {
        std::vector<OpenDemand> out;
        const auto n = m_problem.entries.size();
        for (size_t i = 0; i < n; ++i) {
            const auto entry = (i + m_problem.firstTurn) % n;
            for (const auto& demand : m_problem.entries[entry].demands) {
                if (demand.rank == rank && demand.waiting > 0)
                    out.push_back({ entry, demand.pool, demand.waiting, demand.urgent });
            }
        }
        return out;
    }

    /// The endpoint of the pool with most slots left; the number of endpoints where none has any.
    size_t pickEndpoint(const OpenDemand& demand) const
    {
        size_t best = m_left.size();
        for (const auto k : m_endpointsOf[demand.pool]) {
            if (m_left[k] > 0 && (best == m_left.size() || m_left[k] > m_left[best]))
                best = k;
        }
        return best;
    }

    void serveRank(int rank)
    {
        auto demands = demandsOf(rank);
        for (auto& demand : demands)
            serveFromHeld(demand);
        bool progress = true;
        while (progress) {
            progress = false;
            for (auto& demand : demands)
                progress = serveOne(demand) || progress;
        }
        for (const auto& demand : demands) {
            if (demand.waiting == 0)
                continue;
            auto& admitted = m_plan.admittedRank[demand.pool];
            admitted = std::min(admitted, rank);
            recallFor(demand, rank);
        }
    }

    /// Slots that the entry holds and does not use meet its demand first: nothing has to move for them.
    void serveFromHeld(OpenDemand& demand)
    {
        for (const auto k : m_endpointsOf[demand.pool]) {
            while (demand.waiting > 0 && m_left[k] > 0 && holdsIdle(demand.entry, k))
                assign(demand, k);
        }
    }

    bool serveOne(OpenDemand& demand)
    {
        if (demand.waiting == 0)
            return false;
        const auto k = pickEndpoint(demand);
        if (k == m_left.size())
            return false;
        assign(demand, k);
        return true;
    }

    void assign(OpenDemand& demand, size_t k)
    {
        --demand.waiting;
        demand.urgent -= std::min(demand.urgent, 1U);
        --m_left[k];
        ++m_plan.targets[demand.entry][k];
    }

    bool holdsIdle(size_t entry, size_t k) const
    {
        return m_problem.entries[entry].held[k] > m_plan.targets[entry][k];
    }

    /// Finds lower-tier work that gives way to urgent demand: of the lowest tier first, wherever it runs.
    /// Demand is urgent here only where the entry found nothing of its own that it may preempt by itself.
    void recallFor(const OpenDemand& demand, int rank)
    {
        uint32_t needed = demand.urgent;
        for (const auto& entry : m_problem.entries)
            needed -= std::min(needed, entry.recalled[demand.pool]);
        for (int victim = maxTiers - 1; victim > rank && needed > 0; --victim) {
            for (size_t entry = 0; entry < m_problem.entries.size(); ++entry) {
                const auto taken = takePreemptible(entry, demand.pool, victim, needed);
                needed -= taken;
                noteRecall({ .entry = entry, .pool = demand.pool, .forRank = rank, .slots = taken });
            }
        }
    }

    void noteRecall(const PlannedRecall& recall)
    {
        if (recall.slots == 0)
            return;
        for (auto& it : m_plan.recalls) {
            if (it.entry != recall.entry || it.pool != recall.pool || it.forRank != recall.forRank)
                continue;
            it.slots += recall.slots;
            return;
        }
        m_plan.recalls.push_back(recall);
    }

    /// Takes up to `most` requests of a rank off the entry's preemptible work; returns how many.
    uint32_t takePreemptible(size_t entry, size_t pool, int rank, uint32_t most)
    {
        uint32_t taken = 0;
        for (const auto k : m_endpointsOf[pool]) {
            auto& left = m_preemptible[entry][k][static_cast<size_t>(rank)];
            const auto n = std::min(left, most - taken);
            left -= n;
            taken += n;
        }
        return taken;
    }

    void lendIdleSlots()
    {
        std::vector<size_t> takers;
        for (size_t i = 0; i < m_problem.entries.size(); ++i) {
            if (m_problem.entries[i].takesIdleSlots)
                takers.push_back(i);
        }
        for (size_t k = 0; k < m_left.size(); ++k) {
            for (const auto pool : m_problem.endpoints[k].pools)
                m_plan.freeSlots[pool] += m_left[k];
            if (takers.empty())
                continue;
            // What does not divide evenly stays with the owner for whoever asks first.
            const auto share = m_left[k] / static_cast<uint32_t>(takers.size());
            for (const auto entry : takers)
                m_plan.targets[entry][k] += share;
        }
    }

    const SlotProblem& m_problem;
    std::vector<std::vector<size_t>> m_endpointsOf;
    /// By endpoint: slots neither used nor planned.
    std::vector<uint32_t> m_left;
    /// By entry and endpoint: work that no recall has taken yet.
    std::vector<std::vector<UseByRank>> m_preemptible;
    SlotPlan m_plan;
};

} // namespace

SlotPlan planSlots(const SlotProblem& problem) { return Planner(problem).plan(); }

} // namespace lentilbay
