// Joins the records of callers and endpoints by request id and by content digest.
#include "RunIndex.h"

#include <algorithm>

namespace lentilbay {

RunIndex::RunIndex(const RunRecords& records)
    : m_records(records)
{
    for (const auto& it : records.dispatches) {
        if (!it.id.empty())
            m_dispatchesById.emplace(it.id.text(), &it);
        if (it.contentDigest != 0)
            m_dispatchesByContent.emplace(it.contentDigest, &it);
    }
    for (const auto& it : records.callers) {
        if (!it.id.empty())
            m_callersById.emplace(it.id.text(), &it);
        if (it.contentDigest != 0)
            m_callersByContent.emplace(it.contentDigest, &it);
    }
}

std::vector<const DispatchRecord*> RunIndex::dispatchesOf(const CallerRecord& caller) const
{
    std::vector<const DispatchRecord*> found;
    const auto [first, last] = m_dispatchesById.equal_range(caller.id.text());
    for (auto it = first; it != last; ++it)
        found.push_back(it->second);
    if (callersWithContent(caller.contentDigest) != 1)
        return found;
    const auto [firstContent, lastContent] = m_dispatchesByContent.equal_range(caller.contentDigest);
    for (auto it = firstContent; it != lastContent; ++it) {
        if (std::ranges::find(found, it->second) == found.end())
            found.push_back(it->second);
    }
    return found;
}

const CallerRecord* RunIndex::callerOf(const DispatchRecord& dispatch) const
{
    if (const auto it = m_callersById.find(dispatch.id.text()); it != m_callersById.end())
        return it->second;
    const auto it = m_callersByContent.find(dispatch.contentDigest);
    return it == m_callersByContent.end() ? nullptr : it->second;
}

size_t RunIndex::callersWithContent(uint64_t contentDigest) const
{
    return m_callersByContent.count(contentDigest);
}

std::vector<const EndpointRecord*> RunIndex::endpointsOf(const ServiceId& service) const
{
    std::vector<const EndpointRecord*> found;
    for (const auto& it : m_records.endpoints) {
        if (std::ranges::find(it.services, service) != it.services.end())
            found.push_back(&it);
    }
    return found;
}

bool RunIndex::hadFault(FaultRecord::Kind kind, const std::string& subject, TimePoint from, TimePoint until,
    Duration aftermath) const
{
    return std::ranges::any_of(m_records.faults, [&](const FaultRecord& it) {
        const bool sameSubject = subject.empty() || it.subject.empty() || it.subject == subject;
        const bool overlaps = it.from <= until && (!it.until || *it.until + aftermath >= from);
        return it.kind == kind && sameSubject && overlaps;
    });
}

} // namespace lentilbay
