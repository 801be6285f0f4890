// Predicts answer sizes per organisation and service. Individual answers vary by a factor of a hundred; the
// mean per organisation varies much less.
#pragma once

#include "lentilbay/Policy/Estimate.h"
#include "lentilbay/Support/Identifier.h"

#include <cstdint>
#include <unordered_map>

namespace lentilbay {

/// A predicted size and its standard deviation.
struct ExpectedSize {
    double mean = 0;
    double spread = 0;

    auto operator<=>(const ExpectedSize&) const = default;
};

/// Running estimates of answer sizes, all in one unit chosen by the owner: tokens for a model, seconds for a
/// plain service.
class AnswerEstimates {
public:
    /// @param prior the size that is assumed until the first answer
    explicit AnswerEstimates(double prior)
        : m_prior(prior)
    {
    }

    /// Falls back to the estimate over all organisations of the service while the organisation has few
    /// observations of its own.
    ExpectedSize expected(const OrganisationId& organisation, const ServiceId& service) const;
    void observe(const OrganisationId& organisation, const ServiceId& service, double size);

private:
    struct ServiceSizes {
        explicit ServiceSizes(double prior)
            : all(prior, 0.02)
        {
        }
        Estimate all;
        std::unordered_map<OrganisationId, Estimate> organisations;
    };

    double m_prior;
    std::unordered_map<ServiceId, ServiceSizes> m_services;
};

} // namespace lentilbay
