// Drives libcurl's multi interface with socket and timer events of Asio.
#include "lentilbay/Platform/HttpClient.h"

#include "HttpTransfer.h"
#include "SocketWatches.h"
#include "lentilbay/Platform/WakeTimer.h"
#include "lentilbay/Support/SteadyClock.h"

#include <cassert>
#include <functional>
#include <unordered_map>

namespace lentilbay {

struct HttpClient::State {
    State(asio::io_context& context, HttpClientOptions options)
        : options(options)
        , watches(context, [this](int socket, SocketDirection direction) { socketReady(socket, direction); })
        , timer(context, [this] { socketAction(CURL_SOCKET_TIMEOUT, 0); })
        , multi(curl_multi_init())
    {
        curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, onSocket);
        curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, onTimer);
        curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
        curl_multi_setopt(
            multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(options.maxConnectionsPerHost));
        curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, static_cast<long>(options.maxIdleConnections));
    }

    State(const State&) = delete;
    State& operator=(const State&) = delete;

    ~State()
    {
        for (auto& [id, transfer] : transfers) {
            curl_multi_remove_handle(multi, transfer->easy);
            curl_easy_cleanup(transfer->easy);
        }
        for (auto* easy : idleHandles)
            curl_easy_cleanup(easy);
        curl_multi_cleanup(multi);
    }

    static int onSocket(CURL*, curl_socket_t socket, int what, void* data, void*)
    {
        auto& state = *static_cast<State*>(data);
        if (what == CURL_POLL_REMOVE)
            state.watches.unwatch(socket);
        else
            state.watches.watch(socket, (what & CURL_POLL_IN) != 0, (what & CURL_POLL_OUT) != 0);
        return 0;
    }

    static int onTimer(CURLM*, long milliseconds, void* data)
    {
        auto& state = *static_cast<State*>(data);
        const auto now = steadyNow();
        if (milliseconds < 0)
            state.timer.clear();
        else
            state.timer.set(now + std::chrono::milliseconds { milliseconds }, now);
        return 0;
    }

    static curl_socket_t onOpen(void* data, curlsocktype, curl_sockaddr* address)
    {
        const auto socket
            = static_cast<State*>(data)->watches.open(address->family, address->socktype, address->protocol);
        return socket < 0 ? CURL_SOCKET_BAD : socket;
    }

    static int onClose(void* data, curl_socket_t socket)
    {
        static_cast<State*>(data)->watches.close(socket);
        return 0;
    }

    void socketReady(int socket, SocketDirection direction)
    {
        socketAction(socket, direction == SocketDirection::Read ? CURL_CSELECT_IN : CURL_CSELECT_OUT);
    }

    /// Runs a function that calls libcurl, finishes completed calls, and then runs what was deferred
    /// meanwhile.
    template <class F> void runInMulti(F&& function)
    {
        assert(!insideMulti && "libcurl's multi interface is not reentrant");
        insideMulti = true;
        function();
        finishCompleted();
        for (size_t i = 0; i < deferred.size(); ++i) {
            const auto next = std::move(deferred[i]);
            next();
            finishCompleted();
        }
        deferred.clear();
        insideMulti = false;
    }

    /// Runs the function now, or defers it if called from within a libcurl callback.
    void runOrDefer(std::function<void()> function)
    {
        if (insideMulti)
            deferred.push_back(std::move(function));
        else
            runInMulti(function);
    }

    void socketAction(curl_socket_t socket, int events)
    {
        runOrDefer([this, socket, events] {
            int running = 0;
            curl_multi_socket_action(multi, socket, events, &running);
        });
    }

    CURL* acquireHandle()
    {
        if (!idleHandles.empty()) {
            auto* easy = idleHandles.back();
            idleHandles.pop_back();
            return easy;
        }
        auto* easy = curl_easy_init();
        prepareHandle(easy, options);
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, onOpen);
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, onClose);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
        return easy;
    }

    void startTransfer(HttpCallId id)
    {
        auto& transfer = *transfers.at(id);
        transfer.easy = acquireHandle();
        applyCall(transfer);
        curl_multi_add_handle(multi, transfer.easy);
    }

    /// Removes the call; the caller must still notify its handler.
    std::unique_ptr<HttpTransfer> removeTransfer(HttpTransfer& transfer)
    {
        curl_multi_remove_handle(multi, transfer.easy);
        idleHandles.push_back(transfer.easy);
        auto node = transfers.extract(transfer.id);
        return std::move(node.mapped());
    }

    void finishCompleted()
    {
        int remaining = 0;
        while (auto* message = curl_multi_info_read(multi, &remaining)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            const auto result = message->data.result;
            char* data = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &data);
            auto& transfer = *reinterpret_cast<HttpTransfer*>(data);
            finish(transfer, classifyResult(transfer, result), curl_easy_strerror(result));
        }
    }

    void finish(HttpTransfer& transfer, HttpEnd end, const std::string& detail)
    {
        const auto ended = removeTransfer(transfer);
        if (ended->stopped)
            end = ended->mayBeWritten ? HttpEnd::CancelledAfterWrite : HttpEnd::CancelledBeforeWrite;
        ended->handler->ended(end, detail);
    }

    HttpTransfer* find(HttpCallId id)
    {
        const auto it = transfers.find(id);
        return it == transfers.end() ? nullptr : it->second.get();
    }

    HttpClientOptions options;
    SocketWatches watches;
    WakeTimer timer;
    CURLM* multi;
    std::unordered_map<HttpCallId, std::unique_ptr<HttpTransfer>> transfers;
    std::vector<CURL*> idleHandles;
    HttpCallId lastId = 0;
    /// Whether runInMulti() is on the stack.
    bool insideMulti = false;
    std::vector<std::function<void()>> deferred;
};

HttpClient::HttpClient(asio::io_context& context, HttpClientOptions options)
    : m_state(std::make_unique<State>(context, options))
{
}

HttpClient::~HttpClient() = default;

HttpCallId HttpClient::start(HttpCall call, std::shared_ptr<HttpHandler> handler)
{
    const auto id = ++m_state->lastId;
    auto transfer = std::make_unique<HttpTransfer>();
    transfer->id = id;
    transfer->call = std::move(call);
    transfer->handler = std::move(handler);
    m_state->transfers.emplace(id, std::move(transfer));
    m_state->runOrDefer([state = m_state.get(), id] { state->startTransfer(id); });
    return id;
}

void HttpClient::stop(HttpCallId id)
{
    if (auto* transfer = m_state->find(id))
        transfer->stopped = true;
    m_state->runOrDefer([state = m_state.get(), id] {
        if (auto* transfer = state->find(id))
            state->finish(*transfer, HttpEnd::CancelledAfterWrite, "stopped");
    });
}

void HttpClient::resume(HttpCallId id)
{
    m_state->runOrDefer([state = m_state.get(), id] {
        auto* transfer = state->find(id);
        if (!transfer || !transfer->paused)
            return;
        transfer->paused = false;
        curl_easy_pause(transfer->easy, CURLPAUSE_CONT);
    });
}

size_t HttpClient::runningCalls() const { return m_state->transfers.size(); }

} // namespace lentilbay
