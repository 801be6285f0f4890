// The gateway's view of a caller: a parsed HTTP request and the channel for its response.
#pragma once

#include "lentilbay/Platform/HttpClient.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lentilbay {

/// Identifies an open connection. Ids are never reused.
using ConnectionId = uint64_t;

struct CallerRequest {
    std::string method;
    /// Without the query; not decoded.
    std::string path;
    /// The part after the '?'; not decoded.
    std::string query;
    /// Field names are in lower case.
    std::vector<HttpField> fields;
    std::string body;
    ConnectionId connection = 0;

    /// Returns the value of the field, or nullptr if it is absent.
    const std::string* find(std::string_view name) const;
};

/// A complete HTTP response. The body is shared with the AnswerStore.
struct CallerAnswer {
    int status = 0;
    std::vector<HttpField> fields;
    std::shared_ptr<std::string> body = std::make_shared<std::string>();
};

/// Sends the response to one request. Callers use either answer(), or beginStream() followed by any number of
/// write() calls and endStream().
class CallerChannel {
public:
    CallerChannel() = default;
    CallerChannel(const CallerChannel&) = delete;
    CallerChannel& operator=(const CallerChannel&) = delete;
    virtual ~CallerChannel() = default;

    virtual void answer(CallerAnswer answer) = 0;
    virtual void beginStream(std::vector<HttpField> fields) = 0;
    virtual void write(std::string_view bytes) = 0;
    virtual void endStream() = 0;
    /// Returns the number of bytes that have not been written to the connection yet.
    virtual size_t backlog() const = 0;
    /// Registers a function to be called each time the backlog becomes empty.
    virtual void onDrained(std::function<void()> function) = 0;
};

} // namespace lentilbay
