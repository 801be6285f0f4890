// A bound on the memory that a process holds for bytes which others send it.
//
// Whoever keeps such bytes states how much they cost in a MemoryCharge. All charges of a budget together stay
// within its limit: if one of them grows beyond it, the largest one is evicted, whose owner gives up what it
// keeps. A sender that sends without end, or many that send much, therefore lose their own exchanges and not
// the small ones beside them. Single-threaded.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <unordered_set>

namespace lentilbay {

class MemoryCharge;

class MemoryBudget {
public:
    static constexpr size_t unlimited = std::numeric_limits<size_t>::max();
    /// Smaller charges are never evicted: giving them up gains little, and most exchanges need no more. Their
    /// sum is bounded by the number of connections.
    static constexpr size_t minEvictableBytes = 4096;

    explicit MemoryBudget(size_t limitBytes = unlimited)
        : m_limitBytes(limitBytes)
    {
    }
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    /// Applies to later changes of charges.
    void setLimit(size_t bytes) { m_limitBytes = bytes; }
    size_t limitBytes() const { return m_limitBytes; }
    size_t usedBytes() const { return m_usedBytes; }
    uint64_t evictions() const { return m_evictions; }

private:
    friend class MemoryCharge;

    /// Evicts charges until the limit is kept or none is left that may be evicted.
    void enforceLimit();

    size_t m_limitBytes;
    size_t m_usedBytes = 0;
    uint64_t m_evictions = 0;
    /// Those that are not zero.
    std::unordered_set<MemoryCharge*> m_charges;
};

/// What one owner keeps, in bytes.
class MemoryCharge {
public:
    /// @param budget nullptr if the owner is not bounded
    /// @param evicted called from within resize() of any charge of the budget; releases the owner's memory,
    /// and
    ///     must not change other charges
    MemoryCharge(std::shared_ptr<MemoryBudget> budget, std::function<void()> evicted);
    ~MemoryCharge() { release(); }
    MemoryCharge(const MemoryCharge&) = delete;
    MemoryCharge& operator=(const MemoryCharge&) = delete;

    /// Sets what the owner keeps. Returns false if it has been evicted, now or before; if now, the callback
    /// is called as well.
    bool resize(size_t bytes);
    /// Sets the charge to zero, also after an eviction, and allows it to grow again.
    void release();
    /// A charge that is not evictable counts, but others yield to it.
    void setEvictable(bool isEvictable) { m_isEvictable = isEvictable; }
    size_t bytes() const { return m_bytes; }
    bool isEvicted() const { return m_isEvicted; }

private:
    friend class MemoryBudget;

    void setBytes(size_t bytes);

    std::shared_ptr<MemoryBudget> m_budget;
    std::function<void()> m_evicted;
    size_t m_bytes = 0;
    bool m_isEvictable = true;
    bool m_isEvicted = false;
};

/// Empties a buffer and releases its memory; assigning an empty string would keep it.
inline void releaseBuffer(std::string& buffer) { std::string().swap(buffer); }

} // namespace lentilbay
