// JSON helpers of the stand-ins for reading /control requests and writing /records responses.
#pragma once

#include "lentilbay/Support/Time.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

namespace lentilbay::standins {

inline std::string errorBody(const std::string& message)
{
    return nlohmann::json { { "error", { { "message", message } } } }.dump();
}

/// Microseconds of the host's steady clock, which all processes of a run share; null where empty.
inline nlohmann::json toMicroseconds(std::optional<TimePoint> at)
{
    return at ? nlohmann::json(at->time_since_epoch().count()) : nlohmann::json(nullptr);
}

/// Sets the fault from the member of that name, if present, and removes the member from the JSON.
template <class T> void consumeFault(nlohmann::json& body, const char* name, T& fault)
{
    const auto it = body.find(name);
    if (it == body.end())
        return;
    fault = it->get<T>();
    body.erase(it);
}

/// Like consumeFault() for a duration given in milliseconds.
inline void consumeMilliseconds(nlohmann::json& body, const char* name, Duration& fault)
{
    auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(fault).count();
    consumeFault(body, name, milliseconds);
    fault = std::chrono::milliseconds(milliseconds);
}

/// Throws std::invalid_argument if members are left that no consumeFault() has removed.
inline void rejectUnknownFaults(const nlohmann::json& body)
{
    if (!body.empty())
        throw std::invalid_argument("unknown fault: " + body.begin().key());
}

} // namespace lentilbay::standins
