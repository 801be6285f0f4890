// JSON representation of records, as written by the load tool and served by stand-ins at /records.
#pragma once

#include "lentilbay/Invariants/Checker.h"
#include "lentilbay/Invariants/Records.h"

#include <istream>
#include <string>
#include <string_view>

namespace lentilbay {

/// Prints the record as one line without a line feed.
std::string printJson(const CallerRecord& record);

// The functions below throw std::runtime_error, which names the invalid line or field.

/// Reads one record per line, as printJson() writes them.
std::vector<CallerRecord> readCallerRecords(std::istream& in);

/// Parses the response of an endpoint's stand-in at /records. Appends its dispatches, and the endpoint with
/// its leavingSince.
void readEndpointRecords(std::string_view json, EndpointRecord endpoint, RunRecords& records);

/// A run's endpoints, stops, faults and configurations, without caller and dispatch records.
struct RunDescription {
    RunRecords records;
    CheckOptions options;
};

/// {"endpoints": [...], "stops": [...], "faults": [...], "accepted": [...], "observed": [...], "options":
/// {}}; docs/Scenarios.md lists the fields.
RunDescription readRunDescription(std::string_view json);

} // namespace lentilbay
