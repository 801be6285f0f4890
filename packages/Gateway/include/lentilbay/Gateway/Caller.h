// What the gateway sees of a caller: a request that was read, and the channel for its answer.
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

/// Identifies a connection while it is open and is not used again.
using ConnectionId = uint64_t;

struct CallerRequest {
    std::string method;
    /// Without the query, as it was sent.
    std::string path;
    /// What follows the '?', as it was sent.
    std::string query;
    /// Names in lower case.
    std::vector<HttpField> fields;
    std::string body;
    ConnectionId connection = 0;

    /// The value of the field, or nothing where it is absent.
    const std::string* find(std::string_view name) const;
};

/// A whole answer. The body is shared with the store of answers.
struct CallerAnswer {
    int status = 0;
    std::vector<HttpField> fields;
    std::shared_ptr<std::string> body = std::make_shared<std::string>();
};

/// Takes the answer to one request: either answer(), or beginStream(), any number of write() and endStream().
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
    /// Bytes written that the connection has not taken yet.
    virtual size_t backlog() const = 0;
    /// Calls the function whenever the backlog has become empty.
    virtual void onDrained(std::function<void()> function) = 0;
};

} // namespace lentilbay
