// HTTP client for the admin listener of a daemon, based on libcurl.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lentilbay {

struct AdminResponse {
    long status = 0;
    nlohmann::json body;

    bool isOk() const { return status == 200; }
};

struct AdminClientOptions {
    /// Base URLs of the daemons, for example "http://127.0.0.1:7070", tried in order until one responds.
    std::vector<std::string> daemons;
    /// Bearer token; may be empty.
    std::string token;
    long timeoutMilliseconds = 0;
};

class AdminClient {
public:
    explicit AdminClient(AdminClientOptions options);

    /// Returns the response of the first daemon that gives one, or std::nullopt if none does. Trying the next
    /// daemon after a lost response is safe: all admin requests are idempotent, since a configuration change
    /// carries a unique identifier.
    std::optional<AdminResponse> get(const std::string& path) const;
    std::optional<AdminResponse> post(const std::string& path, const nlohmann::json& body) const;

private:
    std::optional<AdminResponse> call(const std::string& path, const std::optional<std::string>& body) const;

    AdminClientOptions m_options;
};

/// Returns a client for the flags --admin, --token_file and --timeout.
AdminClient adminClientFromFlags();

/// Prints the error in a daemon's response, or that no daemon responded, to standard error.
void printFailure(const std::optional<AdminResponse>& response);

} // namespace lentilbay
