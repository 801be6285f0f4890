// An endpoint as listed by the platform's service discovery.
#pragma once

#include "lentilbay/Support/Identifier.h"

#include <cstdint>
#include <string>

namespace lentilbay {

struct RoutedEndpoint {
    EndpointId id;
    ServiceId service;
    /// An IP address.
    std::string host;
    uint16_t port = 0;
    DataCentreId dataCentre;
    uint32_t slots = 1;
    /// The version of the endpoint's software; empty if it names none. Streams of different versions do not
    /// fit together.
    std::string softwareVersion;
    /// Unix time in milliseconds at which the endpoint started, which distinguishes its incarnations; 0 if
    /// unknown.
    uint64_t startedAtMilliseconds = 0;
    /// Finishes its requests and receives no new ones.
    bool isDraining = false;

    auto operator<=>(const RoutedEndpoint&) const = default;
};

} // namespace lentilbay
