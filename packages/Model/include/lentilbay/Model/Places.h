// Where data centres are, seen from one of them.
#pragma once

#include "lentilbay/Support/Identifier.h"

#include <cstdint>
#include <map>

namespace lentilbay {

enum class Place : uint8_t { OwnDataCentre, OwnRegion, OtherRegion };

struct Places {
    DataCentreId ownDataCentre;
    /// The region of each data centre; one that is missing here counts as another region.
    std::map<DataCentreId, RegionId> regions;

    Place placeOf(const DataCentreId& dataCentre) const
    {
        if (dataCentre == ownDataCentre)
            return Place::OwnDataCentre;
        const auto own = regions.find(ownDataCentre);
        const auto other = regions.find(dataCentre);
        const bool isOwnRegion
            = own != regions.end() && other != regions.end() && own->second == other->second;
        return isOwnRegion ? Place::OwnRegion : Place::OtherRegion;
    }

    auto operator<=>(const Places&) const = default;
};

} // namespace lentilbay
