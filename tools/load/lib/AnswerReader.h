// Reads what came back to a caller and decides how its request ended: the whole answer to it, or what else.
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

    /// Bytes of the answer's body in their order.
    void take(std::string_view bytes) { m_body += bytes; }

    /// The request's record with its end; the times and the daemon are left to the caller.
    CallerRecord finish(const standins::HttpReply& reply) const;

private:
    void readStream(CallerRecord& record) const;
    void readModelAnswer(CallerRecord& record) const;
    void readPlainAnswer(CallerRecord& record) const;
    void compare(const std::string& text, bool ended, CallerRecord& record) const;

    const PlannedRequest& m_request;
    std::string m_body;
};

} // namespace lentilbay::load
