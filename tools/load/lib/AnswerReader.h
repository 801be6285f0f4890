// Parses the response to a planned request and classifies how the request ended for its client.
#pragma once

#include "HttpClient.h"
#include "Workload.h"

#include <string>
#include <string_view>

namespace lentilbay::load {

class AnswerReader {
public:
    /// The request must outlive the reader.
    explicit AnswerReader(const PlannedRequest& request)
        : m_request(request)
    {
    }

    /// Appends the next bytes of the response body.
    void append(std::string_view bytes) { m_body += bytes; }

    /// Returns the request's record with its id and outcome. The caller sets the times and the daemon.
    CallerRecord finish(const standins::HttpReply& reply) const;

private:
    void readStream(CallerRecord& record) const;
    void readModelAnswer(CallerRecord& record) const;
    void readServiceAnswer(CallerRecord& record) const;
    void compareWithExpected(const std::string& text, bool ended, CallerRecord& record) const;

    const PlannedRequest& m_request;
    std::string m_body;
};

} // namespace lentilbay::load
