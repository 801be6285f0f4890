// The daemon: a single thread that owns the blackboard, the controllers and all I/O.
#pragma once

#include "DaemonPart.h"
#include "Settings.h"
#include "lentilbay/Control/ControlPlane.h"
#include "lentilbay/Gateway/AdminServer.h"
#include "lentilbay/Gateway/Gateway.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace asio {
class io_context;
}

namespace lentilbay {

class Daemon {
public:
    /// `membership` holds the address at which peers reach this daemon and the seed peers that it contacts
    /// first.
    explicit Daemon(const Settings& settings, const MembershipOptions& membership = {});
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;
    ~Daemon();

    asio::io_context& context();
    Blackboard& blackboard();
    ControlPlane& plane();
    EntryController& entry();
    Gateway& gateway();
    HttpClient& client();
    /// Parts register their own routes before run().
    AdminServer& admin();

    /// Registers a function that appends a part's metrics in the Prometheus text format.
    void addMetrics(std::function<void(std::string&)> append);
    std::string partMetrics() const;

    /// Adds a part. Parts run in the order in which they were added, before the control plane.
    void add(std::unique_ptr<DaemonPart> part);
    /// Sets the function that claims idempotency keys. Without one, requests with such a key are refused as
    /// not run.
    void setClaimHandler(std::function<void(const RequestIdentity&)> handler);
    /// Registers a function that receives the outcome of each request.
    void onRequestFinished(std::function<void(const RequestOutcome&)> handler);

    /// Sets the function that sends messages to other daemons. Without one, messages are dropped.
    void setPeerSender(std::function<void(std::vector<OutgoingMessage>)> send);

    /// Sets the function that submits commands to the platform's services. Without one, commands are dropped.
    void setStoreSubmitter(std::function<void(std::vector<StoreCommand>)> submit);

    /// Schedules one step of all parts and the control plane after the events that are ready now. Repeated
    /// calls before that step are coalesced.
    void wake();
    /// Calls `function` once after `delay`.
    void callAfter(Duration delay, std::function<void()> function);

    /// Opens the listeners and serves until the shutdown completes.
    void run();
    /// Starts a graceful shutdown. Repeated calls have no effect.
    void drain();

    bool isReady() const;
    uint16_t callersPort() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lentilbay
