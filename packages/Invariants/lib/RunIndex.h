// Joins the records of a run: dispatches with the requests they belong to, services with their endpoints, and
// faults with the time they lasted.
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

    /// The dispatches with the request's id, and those with its content digest if no other request has that.
    std::vector<const DispatchRecord*> dispatchesOf(const CallerRecord& caller) const;
    /// The caller record of a dispatch, or nullptr.
    const CallerRecord* callerOf(const DispatchRecord& dispatch) const;
    /// The number of caller records with this content digest.
    size_t callersWithContent(uint64_t contentDigest) const;

    /// The endpoints that offer a service.
    std::vector<const EndpointRecord*> endpointsOf(const ServiceId& service) const;

    /// Whether a fault of the kind affected the subject at any time from `from` to `until`, or ended at most
    /// aftermath before `from`. An empty subject matches any.
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
