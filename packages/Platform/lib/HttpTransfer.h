// A call in progress: its libcurl handle, its handler and its state.
#pragma once

#include "lentilbay/Platform/HttpClient.h"

#include <curl/curl.h>

namespace lentilbay {

struct HttpTransfer {
    HttpCallId id = 0;
    HttpCall call;
    std::shared_ptr<HttpHandler> handler;
    CURL* easy = nullptr;
    curl_slist* fields = nullptr;
    HttpHead head;
    bool headComplete = false;
    /// Whether the request may have been written, partly or completely. Invariant: never reset to false.
    bool mayBeWritten = false;
    /// Whether HttpHandler::mayWrite() was called; it is called at most once.
    bool preRequestSeen = false;
    bool paused = false;
    bool stopped = false;

    HttpTransfer() = default;
    HttpTransfer(const HttpTransfer&) = delete;
    HttpTransfer& operator=(const HttpTransfer&) = delete;
    ~HttpTransfer() { curl_slist_free_all(fields); }
};

/// Sets the options common to all calls.
void prepareHandle(CURL* easy, const HttpClientOptions& options);

/// Sets the options of a call. The address of the transfer must remain stable until the call has ended.
void applyCall(HttpTransfer& transfer);

/// Maps the result of libcurl to the end of the call.
HttpEnd classifyResult(const HttpTransfer& transfer, CURLcode result);

} // namespace lentilbay
