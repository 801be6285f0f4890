// Joins the records of a run: which dispatches belong to which caller's request, and what runs at which pool.
#pragma once

#include "lentilbay/Invariants/Records.h"

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lentilbay {

class RunIndex {
public:
    /// The records must outlive the index.
    explicit RunIndex(const RunRecords& records);

    const RunRecords& records() const { return m_records; }

    /// The dispatches with the request's id, and those with its content where no other request has it.
    std::vector<const DispatchRecord*> dispatchesOf(const CallerRecord& caller) const;
    /// The caller of a dispatch, or nullptr.
    const CallerRecord* callerOf(const DispatchRecord& dispatch) const;
    /// Caller records with this content.
    size_t callersWithContent(uint64_t contentDigest) const;

    /// The endpoints that offer a service.
    std::vector<const EndpointRecord*> endpointsOf(const ServiceId& service) const;

    /// Whether a fault of the kind struck the subject at some time between the two instants, or ended less
    /// than aftermath before them. An empty subject asks for any.
    bool hadFault(FaultRecord::Kind kind, const std::string& subject, TimePoint from, TimePoint until,
        Duration aftermath) const;

private:
    const RunRecords& m_records;
    std::unordered_multimap<std::string, const DispatchRecord*> m_dispatchesById;
    std::unordered_multimap<uint64_t, const DispatchRecord*> m_dispatchesByContent;
    std::unordered_map<std::string, const CallerRecord*> m_callersById;
    std::unordered_multimap<uint64_t, const CallerRecord*> m_callersByContent;
};

} // namespace lentilbay
