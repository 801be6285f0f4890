// HTTP/1.1 messages as values, for servers and clients.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lentilbay::http {

/// Compares header names; ASCII letters compare case-insensitively.
bool sameHeaderName(std::string_view a, std::string_view b);

struct HeaderField {
    std::string name;
    std::string value;

    bool operator==(const HeaderField&) const = default;
};

/// Header fields in the order of arrival.
class Headers {
public:
    void add(std::string_view name, std::string_view value)
    {
        m_fields.push_back({ .name = std::string(name), .value = std::string(value) });
    }
    /// The value of the first field with this name, or nullptr.
    const std::string* find(std::string_view name) const;
    bool contains(std::string_view name) const { return find(name) != nullptr; }
    void remove(std::string_view name);
    const std::vector<HeaderField>& fields() const { return m_fields; }
    std::vector<HeaderField>& fields() { return m_fields; }

    bool operator==(const Headers&) const = default;

private:
    std::vector<HeaderField> m_fields;
};

struct HttpRequest {
    std::string method;
    /// Path and query exactly as in the request line.
    std::string target;
    Headers headers;
    std::string body;

    /// The target without its query.
    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

struct HttpResponseHead {
    int status = 0;
    std::string reason;
    Headers headers;
    /// Empty if the body is chunked or ends with the connection.
    std::optional<uint64_t> contentLength;
    bool isChunked = false;
    /// Whether the connection can carry another exchange.
    bool keepsAlive = false;
};

/// What a header field costs in memory besides its bytes: it is part of a list that grows by doubling.
constexpr size_t headerFieldOverhead = 2 * sizeof(HeaderField);
/// What header fields cost in memory.
size_t memoryOf(const Headers& headers);

/// The standard reason phrase of a status.
std::string_view reasonPhrase(int status);

/// Removes the hop-by-hop fields and those that the Connection field lists, except fields named in
/// `preserved`, which Connection cannot remove.
void removeHopByHop(Headers& headers, const std::vector<std::string_view>& preserved);

/// Appends "name: value" lines.
void appendHeaders(std::string& out, const Headers& headers);

} // namespace lentilbay::http
