// Estimates answer sizes per organisation, with a fallback per service.
#include "lentilbay/Policy/AnswerEstimates.h"

namespace lentilbay {
namespace {

constexpr uint64_t minObservations = 5;
constexpr double newAnswerWeight = 0.05;

} // namespace

ExpectedSize AnswerEstimates::expected(const OrganisationId& organisation, const ServiceId& service) const
{
    auto sizes = m_services.find(service);
    if (sizes == m_services.end())
        return { .mean = m_prior, .spread = m_prior };
    auto it = sizes->second.organisations.find(organisation);
    if (it != sizes->second.organisations.end() && it->second.observations() >= minObservations)
        return { .mean = it->second.mean(), .spread = it->second.spread() };
    const auto& all = sizes->second.all;
    return { .mean = all.mean(), .spread = all.observations() < minObservations ? all.mean() : all.spread() };
}

void AnswerEstimates::observe(const OrganisationId& organisation, const ServiceId& service, double size)
{
    auto& sizes = m_services.try_emplace(service, m_prior).first->second;
    sizes.all.observe(size);
    sizes.organisations.try_emplace(organisation, m_prior, newAnswerWeight).first->second.observe(size);
}

} // namespace lentilbay
