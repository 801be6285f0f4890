// Configures libcurl handles and implements their callbacks.
#include "HttpTransfer.h"

#include "lentilbay/Support/Units.h"

#include <algorithm>
#include <cctype>

namespace lentilbay {
namespace {

constexpr long receiveBufferBytes = 65'536;
constexpr int firstFinalStatus = 200;

std::string lowerCase(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return std::tolower(c); });
    return out;
}

std::string_view trimmed(std::string_view text)
{
    const auto begin = text.find_first_not_of(" \t\r\n");
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(" \t\r\n") - begin + 1);
}

/// Asks the handler on the first call. A second call means that libcurl resends the request, which is
/// aborted.
int onPreRequest(void* data, char*, char*, int, int)
{
    auto& transfer = *static_cast<HttpTransfer*>(data);
    if (transfer.preRequestSeen || transfer.stopped)
        return CURL_PREREQFUNC_ABORT;
    transfer.preRequestSeen = true;
    transfer.mayBeWritten = transfer.handler->mayWrite();
    return transfer.mayBeWritten ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

void readHeaderLine(HttpTransfer& transfer, std::string_view line)
{
    if (line.starts_with("HTTP/")) {
        transfer.head = {};
        const auto space = line.find(' ');
        const auto code = space == std::string_view::npos ? "" : line.substr(space + 1, 3);
        transfer.head.status = static_cast<int>(parseInteger(code).value_or(0));
        return;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos)
        return;
    transfer.head.fields.emplace_back(
        lowerCase(line.substr(0, colon)), std::string(trimmed(line.substr(colon + 1))));
}

size_t onHeader(char* bytes, size_t size, size_t count, void* data)
{
    auto& transfer = *static_cast<HttpTransfer*>(data);
    const auto line = trimmed({ bytes, size * count });
    if (transfer.headComplete)
        return size * count; // ignores trailer fields
    if (!line.empty()) {
        readHeaderLine(transfer, line);
        return size * count;
    }
    if (transfer.head.status >= firstFinalStatus) {
        transfer.headComplete = true;
        transfer.handler->headArrived(transfer.head);
    }
    return size * count;
}

size_t onBody(char* bytes, size_t size, size_t count, void* data)
{
    auto& transfer = *static_cast<HttpTransfer*>(data);
    if (transfer.stopped)
        return size * count;
    if (transfer.handler->bytesArrived({ bytes, size * count }))
        return size * count;
    transfer.paused = true;
    return CURL_WRITEFUNC_PAUSE;
}

void applyMethod(HttpTransfer& transfer)
{
    auto* easy = transfer.easy;
    const auto& call = transfer.call;
    curl_easy_setopt(easy, CURLOPT_NOBODY, 0L);
    curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    if (call.method == "HEAD")
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    if (call.body) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body->data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body->size()));
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
}

void applyFields(HttpTransfer& transfer)
{
    bool hasType = false;
    for (const auto& [name, value] : transfer.call.fields) {
        hasType = hasType || lowerCase(name) == "content-type";
        // libcurl denotes a field with an empty value by a trailing semicolon
        auto line = name;
        line += value.empty() ? ";" : ": ";
        line += value;
        transfer.fields = curl_slist_append(transfer.fields, line.c_str());
    }
    transfer.fields = curl_slist_append(transfer.fields, "Expect:");
    if (transfer.call.body && !hasType)
        transfer.fields = curl_slist_append(transfer.fields, "Content-Type:");
    curl_easy_setopt(transfer.easy, CURLOPT_HTTPHEADER, transfer.fields);
}

} // namespace

const std::string* HttpHead::find(std::string_view name) const
{
    const auto it
        = std::find_if(fields.begin(), fields.end(), [&](const auto& it) { return it.first == name; });
    return it == fields.end() ? nullptr : &it->second;
}

bool HttpHead::isFramed() const
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    return status == noContent || status == notModified || find("content-length")
        || find("transfer-encoding");
}

void prepareHandle(CURL* easy, const HttpClientOptions& options)
{
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, receiveBufferBytes);
    const auto idle = std::chrono::duration_cast<std::chrono::seconds>(options.maxIdleAge).count();
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, static_cast<long>(std::max<int64_t>(1, idle)));
    const auto connect
        = std::chrono::duration_cast<std::chrono::milliseconds>(options.connectTimeout).count();
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(std::max<int64_t>(1, connect)));
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, onPreRequest);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
}

void applyCall(HttpTransfer& transfer)
{
    auto* easy = transfer.easy;
    curl_easy_setopt(easy, CURLOPT_URL, transfer.call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(transfer.call.timeout).count();
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout));
    applyMethod(transfer);
    applyFields(transfer);
}

HttpEnd classifyResult(const HttpTransfer& transfer, CURLcode result)
{
    if (result == CURLE_OK)
        return HttpEnd::Complete;
    if (!transfer.mayBeWritten)
        return transfer.preRequestSeen || transfer.stopped ? HttpEnd::CancelledBeforeWrite
                                                           : HttpEnd::ConnectFailed;
    return result == CURLE_OPERATION_TIMEDOUT ? HttpEnd::TimedOut : HttpEnd::Incomplete;
}

} // namespace lentilbay
