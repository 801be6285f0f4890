// Simulates several daemons that share slots, with a simulated network and clock.
//
// Each daemon has its own blackboard and slot controller. A minimal substitute for the entry controller
// dispatches waiting requests by rank while a grant admits them, and preempts requests when slots are
// recalled.
#pragma once

#include "lentilbay/Control/Blackboard.h"
#include "lentilbay/Control/SlotController.h"
#include "lentilbay/Support/Random.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lentilbay::test {

struct LinkFaults {
    double loss = 0;
    double duplication = 0;
    Duration minDelay = std::chrono::milliseconds(1);
    Duration maxDelay = std::chrono::milliseconds(3);
};

struct FleetOptions {
    size_t daemons = 3;
    size_t endpoints = 2;
    uint32_t slotsEach = 4;
    uint64_t seed = 1;
    /// Probability, per millisecond and daemon, that one of its requests finishes.
    double finishProbability = 0;
    LinkFaults faults;
};

class SlotFleet {
public:
    struct Daemon {
        DaemonId id;
        Blackboard blackboard;
        std::unique_ptr<SlotController> slots;
        bool isUp = true;
        bool isPaused = false;
        TimePoint nextLoadQuery {};
    };

    explicit SlotFleet(FleetOptions options);

    /// Advances the clock in steps of 1 ms, delivering messages and stepping daemons. Calls `check` after
    /// each step.
    void run(
        Duration duration, const std::function<void()>& check = [] {});

    void addWaiting(size_t daemon, int rank, uint32_t requests, bool urgent = false);
    /// Cancels all waiting requests of a rank.
    void cancelWaiting(size_t daemon, int rank);
    /// Finishes a random request in flight at the daemon.
    void finishOne(size_t daemon);
    void setPaused(size_t daemon, bool isPaused);
    /// Replaces the process by one with a higher incarnation; its requests in flight are lost.
    void restart(size_t daemon);
    void stop(size_t daemon);
    /// Sets the status that one daemon assumes for another.
    void setView(size_t observer, size_t observed, MemberStatus status);
    /// Starts or ends the loss of all messages between two daemons.
    void setPartitioned(size_t a, size_t b, bool isPartitioned);
    /// Makes the endpoint report itself as leaving.
    void leave(size_t endpoint) { m_leaving[endpoint] = true; }

    size_t size() const { return m_daemons.size(); }
    Daemon& daemon(size_t i) { return *m_daemons[i]; }
    TimePoint now() const { return m_now; }
    uint32_t inFlight(size_t daemon, int rank) const;
    uint32_t inFlightAt(size_t endpoint) const;
    uint64_t messagesSent() const { return m_messagesSent; }

    static const ServiceId service;

private:
    struct InFlightMessage {
        TimePoint at;
        size_t from;
        size_t to;
        PeerMessage message;
        uint64_t incarnation;
    };

    void addDaemon(size_t i);
    std::shared_ptr<const Configuration> configuration() const;
    void stepDaemon(size_t i);
    void reportLoads(size_t i);
    void dispatch(Daemon& daemon);
    void preemptRecalled(Daemon& daemon);
    void sendMessages(size_t from);
    void deliver();
    size_t indexOf(const DaemonId& id) const;

    FleetOptions m_options;
    Random m_random;
    TimePoint m_now { std::chrono::seconds(100) };
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<InFlightMessage> m_inFlightMessages;
    std::vector<bool> m_leaving;
    std::vector<std::vector<bool>> m_partitioned;
    uint64_t m_messagesSent = 0;
};

} // namespace lentilbay::test
