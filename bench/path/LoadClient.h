// Keeps connections busy with one fixed request, or sends it at a fixed rate, and measures the answers.
#pragma once

#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lentilbay {

struct LoadOptions {
    uint16_t port = 0;
    std::string request;
    /// What ends an answer.
    std::string end;
    size_t connections = 1;
    /// Answers to wait for.
    size_t answers = 1;
    /// Requests a second over all connections; 0 sends the next one when the answer has come.
    double rate = 0;
};

struct LoadResult {
    Duration elapsed {};
    std::vector<Duration> latencies;

    double perSecond() const { return static_cast<double>(latencies.size()) / toSeconds(elapsed); }
    /// Of the sorted latencies; the part is from 0 to 1.
    Duration quantile(double part) const;
};

LoadResult runLoad(const LoadOptions& options);

} // namespace lentilbay
