// Admin requests with libcurl.
#include "AdminClient.h"

#include <cstdlib>
#include <curl/curl.h>
#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>
#include <memory>
#include <sstream>
#include <utility>

DEFINE_string(admin, "http://127.0.0.1:7070", "admin listeners of daemons, separated by commas");
DEFINE_string(token_file, "", "file that holds the admin token; otherwise LENTILBAY_TOKEN");
DEFINE_uint32(timeout, 10'000, "longest wait for one answer, in milliseconds");

namespace lentilbay {
namespace {

struct CurlDelete {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

size_t appendBody(const char* data, size_t size, size_t count, void* user)
{
    static_cast<std::string*>(user)->append(data, size * count);
    return size * count;
}

std::vector<std::string> splitAtCommas(const std::string& text)
{
    std::vector<std::string> out;
    std::istringstream in(text);
    for (std::string word; std::getline(in, word, ',');)
        out.push_back(word);
    return out;
}

std::string tokenFromFlags()
{
    if (!FLAGS_token_file.empty()) {
        std::string token;
        std::ifstream(FLAGS_token_file) >> token;
        return token;
    }
    const char* token = std::getenv("LENTILBAY_TOKEN");
    return token == nullptr ? "" : token;
}

std::optional<AdminResponse> sendRequest(
    const std::string& url, const AdminClientOptions& options, const std::optional<std::string>& body)
{
    const std::unique_ptr<CURL, CurlDelete> handle(curl_easy_init());
    if (!handle)
        return std::nullopt;
    std::unique_ptr<curl_slist, CurlDelete> headers(
        curl_slist_append(nullptr, ("Authorization: Bearer " + options.token).c_str()));
    curl_slist_append(headers.get(), "Content-Type: application/json");
    std::string text;
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, options.timeoutMilliseconds);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &text);
    if (body) {
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, body->c_str());
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body->size()));
    }
    if (curl_easy_perform(handle.get()) != CURLE_OK)
        return std::nullopt;
    AdminResponse response;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &response.status);
    response.body = nlohmann::json::parse(text, nullptr, false);
    if (!response.body.is_object())
        return std::nullopt;
    return response;
}

} // namespace

AdminClient::AdminClient(AdminClientOptions options)
    : m_options(std::move(options))
{
}

std::optional<AdminResponse> AdminClient::get(const std::string& path) const
{
    return call(path, std::nullopt);
}

std::optional<AdminResponse> AdminClient::post(const std::string& path, const nlohmann::json& body) const
{
    return call(path, body.dump());
}

std::optional<AdminResponse> AdminClient::call(
    const std::string& path, const std::optional<std::string>& body) const
{
    for (const auto& daemon : m_options.daemons) {
        if (auto response = sendRequest(daemon + path, m_options, body))
            return response;
    }
    return std::nullopt;
}

AdminClient adminClientFromFlags()
{
    return AdminClient({ .daemons = splitAtCommas(FLAGS_admin),
        .token = tokenFromFlags(),
        .timeoutMilliseconds = static_cast<long>(FLAGS_timeout) });
}

void printFailure(const std::optional<AdminResponse>& response)
{
    if (!response) {
        fmt::print(stderr, "no daemon answered at {}\n", FLAGS_admin);
        return;
    }
    const auto error = response->body.value("error", nlohmann::json::object());
    fmt::print(stderr, "{} {}\n", error.value("code", "HTTP " + std::to_string(response->status)),
        error.value("message", "the daemon refused the call"));
    for (const auto& fault : response->body.value("faults", nlohmann::json::array()))
        fmt::print(stderr, "{}\n", fault.get<std::string>());
}

} // namespace lentilbay
