// Plans an owner's slots: serves demand by rank, recalls slots for urgent demand and lends idle slots.
#include "lentilbay/Control/SlotPlan.h"

#include <algorithm>
#include <numeric>

namespace lentilbay {
namespace {

uint32_t total(const UseByRank& uses) { return std::accumulate(uses.begin(), uses.end(), 0U); }

/// The demand of one entry for one pool at one rank that is not served yet.
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
        initialisePlan();
    }

    SlotPlan plan()
    {
        for (int rank = 0; rank < maxTiers; ++rank)
            serveRank(rank);
        distributeIdleSlots();
        return std::move(m_plan);
    }

private:
    void initialisePlan()
    {
        m_plan.admittedRank.assign(m_problem.pools, maxTiers - 1);
        m_plan.freeSlots.assign(m_problem.pools, 0);
        for (const auto& endpoint : m_problem.endpoints)
            m_remaining.push_back(endpoint.slots);
        for (const auto& entry : m_problem.entries) {
            m_plan.targets.emplace_back();
            m_preemptible.push_back(entry.uses);
            for (size_t k = 0; k < m_remaining.size(); ++k) {
                const auto used = total(entry.uses[k]);
                m_plan.targets.back().push_back(used);
                m_remaining[k] -= std::min(m_remaining[k], used);
            }
        }
    }

    std::vector<OpenDemand> demandsOf(int rank) const
    {
        std::vector<OpenDemand> out;
        const auto n = m_problem.entries.size();
        for (size_t i = 0; i < n; ++i) {
            const auto entry = (i + m_problem.firstEntry) % n;
            for (const auto& demand : m_problem.entries[entry].demands) {
                if (demand.rank == rank && demand.waiting > 0)
                    out.push_back({ entry, demand.pool, demand.waiting, demand.urgent });
            }
        }
        return out;
    }

    /// Returns the endpoint of the pool with the most remaining slots, or the number of endpoints if none has
    /// any.
    size_t pickEndpoint(const OpenDemand& demand) const
    {
        size_t best = m_remaining.size();
        for (const auto k : m_endpointsOf[demand.pool]) {
            if (m_remaining[k] > 0 && (best == m_remaining.size() || m_remaining[k] > m_remaining[best]))
                best = k;
        }
        return best;
    }

    void serveRank(int rank)
    {
        auto demands = demandsOf(rank);
        for (auto& demand : demands)
            serveFromHeldSlots(demand);
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

    /// Serves demand from slots that the entry holds but does not use, which need no transfer.
    void serveFromHeldSlots(OpenDemand& demand)
    {
        for (const auto k : m_endpointsOf[demand.pool]) {
            while (demand.waiting > 0 && m_remaining[k] > 0 && holdsIdle(demand.entry, k))
                assign(demand, k);
        }
    }

    bool serveOne(OpenDemand& demand)
    {
        if (demand.waiting == 0)
            return false;
        const auto k = pickEndpoint(demand);
        if (k == m_remaining.size())
            return false;
        assign(demand, k);
        return true;
    }

    void assign(OpenDemand& demand, size_t k)
    {
        --demand.waiting;
        demand.urgent -= std::min(demand.urgent, 1U);
        --m_remaining[k];
        ++m_plan.targets[demand.entry][k];
    }

    bool holdsIdle(size_t entry, size_t k) const
    {
        return m_problem.entries[entry].held[k] > m_plan.targets[entry][k];
    }

    /// Selects lower-tier work to recall for urgent demand, lowest tier first, at any entry. Entries
    /// report demand as urgent only if they found no work of their own that they may preempt.
    void recallFor(const OpenDemand& demand, int rank)
    {
        uint32_t needed = demand.urgent;
        for (const auto& entry : m_problem.entries)
            needed -= std::min(needed, entry.recalled[demand.pool]);
        for (int victimRank = maxTiers - 1; victimRank > rank && needed > 0; --victimRank) {
            for (size_t entry = 0; entry < m_problem.entries.size(); ++entry) {
                const auto taken = takePreemptible(entry, demand.pool, victimRank, needed);
                needed -= taken;
                addRecall({ .entry = entry, .pool = demand.pool, .forRank = rank, .slots = taken });
            }
        }
    }

    void addRecall(const PlannedRecall& recall)
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

    /// Removes up to `limit` requests of a rank from the entry's preemptible work. Returns the number
    /// removed.
    uint32_t takePreemptible(size_t entry, size_t pool, int rank, uint32_t limit)
    {
        uint32_t taken = 0;
        for (const auto k : m_endpointsOf[pool]) {
            auto& remaining = m_preemptible[entry][k][static_cast<size_t>(rank)];
            const auto n = std::min(remaining, limit - taken);
            remaining -= n;
            taken += n;
        }
        return taken;
    }

    void distributeIdleSlots()
    {
        std::vector<size_t> recipients;
        for (size_t i = 0; i < m_problem.entries.size(); ++i) {
            if (m_problem.entries[i].receivesIdleSlots)
                recipients.push_back(i);
        }
        for (size_t k = 0; k < m_remaining.size(); ++k) {
            for (const auto pool : m_problem.endpoints[k].pools)
                m_plan.freeSlots[pool] += m_remaining[k];
            if (recipients.empty())
                continue;
            // The remainder of the division stays with the owner for the first entry with demand.
            const auto share = m_remaining[k] / static_cast<uint32_t>(recipients.size());
            for (const auto entry : recipients)
                m_plan.targets[entry][k] += share;
        }
    }

    const SlotProblem& m_problem;
    std::vector<std::vector<size_t>> m_endpointsOf;
    /// By endpoint: slots neither in use nor assigned.
    std::vector<uint32_t> m_remaining;
    /// By entry and endpoint: work that is not recalled yet.
    std::vector<std::vector<UseByRank>> m_preemptible;
    SlotPlan m_plan;
};

} // namespace

SlotPlan planSlots(const SlotProblem& problem) { return Planner(problem).plan(); }

} // namespace lentilbay
