// Several daemons that share slots, over links and clocks of the test's own.
//
// Each daemon has its blackboard and slot controller. In place of the entry controller stands the simplest
// one that keeps the rules: it dispatches what waits, by rank, while a grant admits it, and gives way when
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
    Duration leastDelay = std::chrono::milliseconds(1);
    Duration mostDelay = std::chrono::milliseconds(3);
};

struct FleetOptions {
    size_t daemons = 3;
    size_t endpoints = 2;
    uint32_t slotsEach = 4;
    uint64_t seed = 1;
    /// The chance that one of a daemon's requests ends in a millisecond.
    double endChance = 0;
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
        TimePoint asksLoadsAt {};
    };

    explicit SlotFleet(FleetOptions options);

    /// Advances all clocks, delivering messages and stepping daemons every millisecond. Calls the check after
    /// each millisecond.
    void run(
        Duration duration, const std::function<void()>& check = [] {});

    void wait(size_t daemon, int rank, uint32_t requests, bool urgent = false);
    /// The caller gives up on what waits.
    void giveUp(size_t daemon, int rank);
    /// One of the daemon's requests in flight ends, any of them.
    void endOne(size_t daemon);
    void setPaused(size_t daemon, bool isPaused);
    /// The process dies with all it had in flight, and comes back with a higher incarnation.
    void restart(size_t daemon);
    void stop(size_t daemon);
    /// What one daemon takes another for.
    void setView(size_t observer, size_t observed, MemberStatus status);
    /// Messages between the two are lost from now on, or pass again.
    void setCut(size_t a, size_t b, bool isCut);
    /// The endpoint says of itself that it is leaving.
    void leave(size_t endpoint) { m_leaving[endpoint] = true; }

    size_t size() const { return m_daemons.size(); }
    Daemon& daemon(size_t i) { return *m_daemons[i]; }
    TimePoint now() const { return m_now; }
    uint32_t inFlight(size_t daemon, int rank) const;
    uint32_t inFlightAt(size_t endpoint) const;
    uint64_t messagesSent() const { return m_messagesSent; }

    static const ServiceId service;

private:
    struct InTransit {
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
    void giveWay(Daemon& daemon);
    void post(size_t from);
    void deliver();
    size_t numberOf(const DaemonId& id) const;

    FleetOptions m_options;
    Random m_random;
    TimePoint m_now { std::chrono::seconds(100) };
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<InTransit> m_inTransit;
    std::vector<bool> m_leaving;
    std::vector<std::vector<bool>> m_cut;
    uint64_t m_messagesSent = 0;
};

} // namespace lentilbay::test
