// HttpClient over libcurl's easy interface, with a new connection per call. libcurl silently resends a
// request if a reused connection breaks before the first byte of the response, but users of this client must
// know how often a request was sent.
#include "HttpClient.h"

#include <curl/curl.h>
#include <mutex>
#include <stdexcept>

namespace lentilbay::standins {

struct HttpClient::State {
    CURL* curl = nullptr;
};

namespace {

struct Transfer {
    const HttpCall& call;
    HttpReply reply;
};

size_t onBody(char* bytes, size_t size, size_t count, void* context)
{
    auto& transfer = *static_cast<Transfer*>(context);
    const std::string_view data(bytes, size * count);
    if (!transfer.call.onData)
        transfer.reply.body += data;
    else if (!transfer.call.onData(data))
        return 0;
    return data.size();
}

size_t onHeader(char* bytes, size_t size, size_t count, void* context)
{
    auto& transfer = *static_cast<Transfer*>(context);
    const std::string_view line(bytes, size * count);
    const auto colon = line.find(':');
    if (colon == std::string_view::npos)
        return line.size();
    auto value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    while (!value.empty() && (value.back() == '\r' || value.back() == '\n' || value.back() == ' '))
        value.remove_suffix(1);
    transfer.reply.headers.push_back(
        { .name = std::string(line.substr(0, colon)), .value = std::string(value) });
    return line.size();
}

curl_slist* makeHeaderList(const HttpCall& call)
{
    // Disables "Expect: 100-continue", which curl sends with large bodies before it waits for the response.
    auto* list = curl_slist_append(nullptr, "Expect:");
    for (const auto& it : call.headers)
        list = curl_slist_append(list, (it.name + ": " + it.value).c_str());
    return list;
}

void initialiseCurlOnce()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

} // namespace

HttpClient::HttpClient()
    : m_state(std::make_unique<State>())
{
    initialiseCurlOnce();
    m_state->curl = curl_easy_init();
    if (!m_state->curl)
        throw std::runtime_error("curl_easy_init() failed");
}

HttpClient::~HttpClient() { curl_easy_cleanup(m_state->curl); }

HttpReply HttpClient::call(const HttpCall& call)
{
    auto* curl = m_state->curl;
    Transfer transfer { .call = call, .reply = {} };
    curl_easy_reset(curl);
    auto* headers = makeHeaderList(call);
    curl_easy_setopt(curl, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
        std::chrono::duration_cast<std::chrono::milliseconds>(call.timeout).count());
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, &transfer);
    if (call.method != "GET") {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, call.body.c_str());
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
    }
    const auto result = curl_easy_perform(curl);
    curl_slist_free_all(headers);
    long status = 0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    transfer.reply.status = static_cast<int>(status);
    transfer.reply.timedOut = result == CURLE_OPERATION_TIMEDOUT;
    if (result != CURLE_OK)
        transfer.reply.error = curl_easy_strerror(result);
    return std::move(transfer.reply);
}

std::string HttpReply::header(const std::string& name) const { return findHeader(headers, name); }

} // namespace lentilbay::standins
