// One call inside the client: its libcurl handle, its handler and what has happened so far.
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
    bool headDone = false;
    /// Invariant: never set back. From then on the request may have been written.
    bool written = false;
    /// Whether the handler was asked; it is asked once.
    bool asked = false;
    bool paused = false;
    bool stopped = false;

    HttpTransfer() = default;
    HttpTransfer(const HttpTransfer&) = delete;
    HttpTransfer& operator=(const HttpTransfer&) = delete;
    ~HttpTransfer() { curl_slist_free_all(fields); }
};

/// Sets the options that all calls share.
void prepareHandle(CURL* easy, const HttpClientOptions& options);

/// Sets the options of one call; the transfer must stay where it is until the call has ended.
void applyCall(HttpTransfer& transfer);

/// What libcurl's result means for the call.
HttpEnd endOf(const HttpTransfer& transfer, CURLcode result);

} // namespace lentilbay
