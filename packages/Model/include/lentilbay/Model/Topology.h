// The location of data centres relative to one of them.
#pragma once

#include "lentilbay/Support/Identifier.h"

#include <cstdint>
#include <map>

namespace lentilbay {

/// The location of a data centre relative to the own one.
enum class Locality : uint8_t { OwnDataCentre, OwnRegion, OtherRegion };

struct Topology {
    DataCentreId ownDataCentre;
    /// The region of each data centre; a data centre without an entry counts as in another region.
    std::map<DataCentreId, RegionId> regions;

    Locality localityOf(const DataCentreId& dataCentre) const
    {
        if (dataCentre == ownDataCentre)
            return Locality::OwnDataCentre;
        const auto own = regions.find(ownDataCentre);
        const auto other = regions.find(dataCentre);
        const bool isOwnRegion
            = own != regions.end() && other != regions.end() && own->second == other->second;
        return isOwnRegion ? Locality::OwnRegion : Locality::OtherRegion;
    }

    auto operator<=>(const Topology&) const = default;
};

} // namespace lentilbay
