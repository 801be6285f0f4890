// Calls a daemon's admin listener over HTTP by libcurl.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lentilbay {

struct AdminAnswer {
    long status = 0;
    nlohmann::json body;

    bool isOk() const { return status == 200; }
};

struct AdminClientOptions {
    /// Base addresses of daemons, "http://127.0.0.1:7070"; tried in their order until one answers.
    std::vector<std::string> daemons;
    /// The bearer token; empty sends none.
    std::string token;
    long timeoutMilliseconds = 0;
};

class AdminClient {
public:
    explicit AdminClient(AdminClientOptions options);

    /// The answer of the first daemon that gives one. Every call of the admin listener may be repeated, a
    /// change because it carries an identifier of its own, so a lost answer is no reason to stop. Nothing
    /// where no daemon answered.
    std::optional<AdminAnswer> get(const std::string& path) const;
    std::optional<AdminAnswer> post(const std::string& path, const nlohmann::json& body) const;

private:
    std::optional<AdminAnswer> call(const std::string& path, const std::optional<std::string>& body) const;

    AdminClientOptions m_options;
};

/// The client that the flags --admin, --token_file and --timeout describe.
AdminClient adminClientFromFlags();

/// Prints what a daemon refused, or that none answered.
void printRefusal(const std::optional<AdminAnswer>& answer);

} // namespace lentilbay
