// Lookup of configuration elements by name.
#include "lentilbay/Model/Configuration.h"

#include <algorithm>

namespace lentilbay {
namespace {

template <class T, class Id> const T* findByName(const std::vector<T>& elements, const Id& name)
{
    auto it = std::find_if(
        elements.begin(), elements.end(), [&](const T& element) { return element.name == name; });
    return it == elements.end() ? nullptr : &*it;
}

} // namespace

const Tier* findTier(const Configuration& configuration, const TierId& name)
{
    return findByName(configuration.tiers, name);
}

const Organisation* findOrganisation(const Configuration& configuration, const OrganisationId& name)
{
    return findByName(configuration.organisations, name);
}

const Service* findService(const Configuration& configuration, const ServiceId& name)
{
    return findByName(configuration.services, name);
}

const Endpoint* findEndpoint(const Configuration& configuration, const EndpointId& name)
{
    return findByName(configuration.endpoints, name);
}

} // namespace lentilbay
