// Request metrics per tier, exported in the Prometheus text format.
#pragma once

#include "lentilbay/Model/Request.h"

#include <memory>
#include <string>
#include <string_view>

namespace lentilbay {

class Metrics {
public:
    Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;
    ~Metrics();

    void observe(const RequestOutcome& outcome);

    /// Returns all counters and histograms in the Prometheus text format.
    std::string text() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Append a gauge with its HELP and TYPE lines, a single sample, or only the HELP and TYPE lines. Labels are
/// printed verbatim, for example pool="m1".
void appendGauge(std::string& out, std::string_view name, std::string_view help, double value);
void appendSample(std::string& out, std::string_view name, std::string_view labels, double value);
void appendMetricHeader(
    std::string& out, std::string_view name, std::string_view type, std::string_view help);

} // namespace lentilbay
