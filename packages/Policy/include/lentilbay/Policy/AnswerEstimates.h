// How long answers are, by organisation and service: requests differ a hundredfold, their callers less.
#pragma once

#include "lentilbay/Policy/Estimate.h"
#include "lentilbay/Support/Identifier.h"

#include <cstdint>
#include <unordered_map>

namespace lentilbay {

/// An expected size with its standard deviation.
struct ExpectedSize {
    double mean = 0;
    double spread = 0;

    auto operator<=>(const ExpectedSize&) const = default;
};

/// Sizes of answers in any one unit (tokens for a model, seconds for a plain service).
class AnswerEstimates {
public:
    /// The size before any answer was seen.
    explicit AnswerEstimates(double prior)
        : m_prior(prior)
    {
    }

    /// An organisation that has few answers of its own is taken to be like all others of the service.
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
