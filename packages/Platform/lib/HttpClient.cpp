// Drives libcurl's multi interface from Asio's events.
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
        , watches(context, [this](int socket, SocketReady ready) { socketReady(socket, ready); })
        , timer(context, [this] { act(CURL_SOCKET_TIMEOUT, 0); })
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
        for (auto* easy : idle)
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

    void socketReady(int socket, SocketReady ready)
    {
        act(socket, ready == SocketReady::Read ? CURL_CSELECT_IN : CURL_CSELECT_OUT);
    }

    /// Runs a function that calls libcurl, then ends calls, then does what handlers asked for meanwhile.
    template <class F> void enter(F&& function)
    {
        assert(!inside && "libcurl's multi interface is not entered twice");
        inside = true;
        function();
        finishEnded();
        for (size_t i = 0; i < deferred.size(); ++i) {
            const auto next = std::move(deferred[i]);
            next();
            finishEnded();
        }
        deferred.clear();
        inside = false;
    }

    /// Runs the function now, or after libcurl's callback from which it was asked for.
    void run(std::function<void()> function)
    {
        if (inside)
            deferred.push_back(std::move(function));
        else
            enter(function);
    }

    void act(curl_socket_t socket, int events)
    {
        run([this, socket, events] {
            int running = 0;
            curl_multi_socket_action(multi, socket, events, &running);
        });
    }

    CURL* takeHandle()
    {
        if (!idle.empty()) {
            auto* easy = idle.back();
            idle.pop_back();
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

    void begin(HttpCallId id)
    {
        auto& transfer = *transfers.at(id);
        transfer.easy = takeHandle();
        applyCall(transfer);
        curl_multi_add_handle(multi, transfer.easy);
    }

    /// Takes the call out; its handler must still be told.
    std::unique_ptr<HttpTransfer> takeOut(HttpTransfer& transfer)
    {
        curl_multi_remove_handle(multi, transfer.easy);
        idle.push_back(transfer.easy);
        auto node = transfers.extract(transfer.id);
        return std::move(node.mapped());
    }

    void finishEnded()
    {
        int left = 0;
        while (auto* message = curl_multi_info_read(multi, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            const auto result = message->data.result;
            char* data = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &data);
            auto& transfer = *reinterpret_cast<HttpTransfer*>(data);
            finish(transfer, endOf(transfer, result), curl_easy_strerror(result));
        }
    }

    void finish(HttpTransfer& transfer, HttpEnd end, const std::string& detail)
    {
        const auto ended = takeOut(transfer);
        if (ended->stopped)
            end = ended->written ? HttpEnd::Stopped : HttpEnd::Withdrawn;
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
    std::vector<CURL*> idle;
    HttpCallId lastId = 0;
    /// Whether a function of libcurl's multi interface is on the stack.
    bool inside = false;
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
    m_state->run([state = m_state.get(), id] { state->begin(id); });
    return id;
}

void HttpClient::stop(HttpCallId id)
{
    if (auto* transfer = m_state->find(id))
        transfer->stopped = true;
    m_state->run([state = m_state.get(), id] {
        if (auto* transfer = state->find(id))
            state->finish(*transfer, HttpEnd::Stopped, "stopped");
    });
}

void HttpClient::resume(HttpCallId id)
{
    m_state->run([state = m_state.get(), id] {
        auto* transfer = state->find(id);
        if (!transfer || !transfer->paused)
            return;
        transfer->paused = false;
        curl_easy_pause(transfer->easy, CURLPAUSE_CONT);
    });
}

size_t HttpClient::runningCalls() const { return m_state->transfers.size(); }

} // namespace lentilbay
