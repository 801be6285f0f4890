// The daemon: one thread that owns the blackboard, the controllers and all input and output.
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
    /// The membership's options say how others reach this daemon and whom it tries first.
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
    /// Parts add their own pages before run().
    AdminServer& admin();

    /// Parts append their own metrics in Prometheus' text format.
    void addMetrics(std::function<void(std::string&)> append);
    std::string metricsOfParts() const;

    /// Parts step in the order in which they were added, before the control plane.
    void add(std::unique_ptr<DaemonPart> part);
    /// Who claims keyed requests. Without it they are refused as not run.
    void setClaim(std::function<void(const KeyedRequest&)> claim);
    /// Calls the function with each request's outcome.
    void onFinished(std::function<void(const RequestOutcome&)> function);

    /// Who carries messages to other daemons. Without it they are dropped.
    void setPeerLink(std::function<void(std::vector<OutgoingMessage>)> send);

    /// Who carries commands to the platform's services. Without it they are dropped.
    void setStoreLink(std::function<void(std::vector<StoreCommand>)> submit);

    /// Something was reported to a part: all parts step after the events that are ready now.
    void wake();
    /// Calls the function once after the delay.
    void callAfter(Duration delay, std::function<void()> function);

    /// Begins to listen and serves until the daemon has left.
    void run();
    /// Begins a graceful stop; a second call changes nothing.
    void drain();

    bool isReady() const;
    uint16_t callersPort() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lentilbay
