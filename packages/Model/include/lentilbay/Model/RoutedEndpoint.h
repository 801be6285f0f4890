// An endpoint as the platform's discovery lists it.
#pragma once

#include "lentilbay/Support/Identifier.h"

#include <cstdint>
#include <string>

namespace lentilbay {

struct RoutedEndpoint {
    EndpointId id;
    ServiceId service;
    /// An IP number.
    std::string host;
    uint16_t port = 0;
    DataCentreId dataCentre;
    uint32_t slots = 1;
    /// It finishes what it has and gets nothing new.
    bool isDraining = false;

    auto operator<=>(const RoutedEndpoint&) const = default;
};

} // namespace lentilbay
