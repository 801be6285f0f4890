// Charges of a memory budget and the choice of the one that is evicted.
#include "lentilbay/Support/MemoryBudget.h"

#include <utility>

namespace lentilbay {

void MemoryBudget::enforceLimit()
{
    while (m_usedBytes > m_limitBytes) {
        MemoryCharge* largest = nullptr;
        for (auto* it : m_charges) {
            if (it->m_isEvictable && it->m_bytes >= minEvictableBytes
                && (!largest || it->m_bytes > largest->m_bytes))
                largest = it;
        }
        if (!largest)
            return;
        ++m_evictions;
        largest->setBytes(0);
        largest->m_isEvicted = true;
        if (largest->m_evicted)
            largest->m_evicted();
    }
}

MemoryCharge::MemoryCharge(std::shared_ptr<MemoryBudget> budget, std::function<void()> evicted)
    : m_budget(std::move(budget))
    , m_evicted(std::move(evicted))
{
}

bool MemoryCharge::resize(size_t bytes)
{
    if (!m_budget || bytes == m_bytes)
        return !m_isEvicted;
    if (m_isEvicted)
        return false;
    const bool grows = bytes > m_bytes;
    setBytes(bytes);
    if (grows)
        m_budget->enforceLimit();
    return !m_isEvicted;
}

void MemoryCharge::release()
{
    if (m_bytes > 0)
        setBytes(0);
    m_isEvicted = false;
}

void MemoryCharge::setBytes(size_t bytes)
{
    m_budget->m_usedBytes += bytes - m_bytes;
    m_bytes = bytes;
    if (bytes > 0)
        m_budget->m_charges.insert(this);
    else
        m_budget->m_charges.erase(this);
}

} // namespace lentilbay
