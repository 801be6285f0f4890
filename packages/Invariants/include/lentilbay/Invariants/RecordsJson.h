// Records as JSON: what the load tool writes and what stand-ins answer at /records.
#pragma once

#include "lentilbay/Invariants/Checker.h"
#include "lentilbay/Invariants/Records.h"

#include <istream>
#include <string>
#include <string_view>

namespace lentilbay {

/// One line without its line feed.
std::string printJson(const CallerRecord& record);

// All of these throw std::runtime_error with the line or field that is wrong.

/// One record a line, as printJson() writes them.
std::vector<CallerRecord> readCallerRecords(std::istream& in);

/// Appends what a stand-in of an endpoint answered at /records, and the endpoint with its leavingSince.
void readEndpointRecords(std::string_view json, EndpointRecord endpoint, RunRecords& records);

/// A run's endpoints, stops, faults and configurations, without the records of callers and endpoints.
struct RunDescription {
    RunRecords records;
    CheckOptions options;
};

/// {"endpoints": [...], "stops": [...], "faults": [...], "accepted": [...], "observed": [...], "options":
/// {}}; docs/Scenarios.md lists the fields.
RunDescription readRunDescription(std::string_view json);

} // namespace lentilbay
