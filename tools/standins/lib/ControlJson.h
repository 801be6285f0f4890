// What stand-ins share in reading /control and writing /records.
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

/// Microseconds of the machine's steady clock, which all processes of a run share; null for no time.
inline nlohmann::json toMicroseconds(std::optional<TimePoint> at)
{
    return at ? nlohmann::json(at->time_since_epoch().count()) : nlohmann::json(nullptr);
}

/// Sets a fault from the JSON where it is named, and removes it from there.
template <class T> void takeFault(nlohmann::json& body, const char* name, T& fault)
{
    const auto it = body.find(name);
    if (it == body.end())
        return;
    fault = it->get<T>();
    body.erase(it);
}

inline void takeMilliseconds(nlohmann::json& body, const char* name, Duration& fault)
{
    auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(fault).count();
    takeFault(body, name, milliseconds);
    fault = std::chrono::milliseconds(milliseconds);
}

/// Throws where a fault is left that nobody took.
inline void refuseUnknownFaults(const nlohmann::json& body)
{
    if (!body.empty())
        throw std::invalid_argument("unknown fault: " + body.begin().key());
}

} // namespace lentilbay::standins
