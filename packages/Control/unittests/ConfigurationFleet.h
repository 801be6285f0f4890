// Daemons with their configuration controllers in virtual time, over links and a store with injected faults.
//
// After each tick the fleet checks the invariants: no daemon may start work under a version older than one
// reported as accepted, no daemon returns to an older version, and a version has the same content everywhere.
#pragma once

#include "FakeStore.h"
#include "lentilbay/Control/ConfigurationController.h"

#include <deque>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lentilbay {

/// A small valid document; different values give different documents.
inline std::string documentOf(uint64_t value)
{
    return fmt::format("[objective]\ngoodput = {}\n[tier gold]\nrank = 0\n[organisation firm]\ntiers = gold\n"
                       "[service lots]\nkind = plain\n[endpoint desk]\naddress = 10.0.0.1:80\nregion = r0\n"
                       "data_centre = r0\nservices = lots\n",
        value);
}

class ConfigurationFleet {
public:
    struct Node {
        std::string name;
        std::string region;
        uint64_t incarnation = 0;
        Blackboard blackboard;
        std::unique_ptr<ConfigurationController> controller;
        bool running = false;
        bool stopping = false;
        TimePoint pausedUntil;
        bool reachesStore = true;
        uint64_t highestInForce = 0;
        std::map<size_t, TimePoint> lastReached;
        std::deque<std::function<void()>> inbox;
        uint64_t bytesSent = 0;
        uint64_t messagesSent = 0;
    };

    /// `regions` regions; daemon i is in region i modulo `regions`.
    ConfigurationFleet(size_t daemons, size_t regions, uint64_t seed)
        : store(seed)
        , m_random(seed + 1)
    {
        for (size_t i = 0; i < daemons; ++i) {
            nodes.push_back(std::make_unique<Node>());
            nodes[i]->name = fmt::format("d{}", i);
            nodes[i]->region = fmt::format("r{}", i % regions);
            m_group.push_back(0);
        }
        for (size_t i = 0; i < daemons; ++i)
            start(i);
    }

    void start(size_t i)
    {
        auto& node = *nodes[i];
        if (node.running)
            return;
        node.blackboard = Blackboard();
        node.blackboard.self = DaemonId(node.name);
        node.blackboard.region = RegionId(node.region);
        node.blackboard.dataCentre = DataCentreId(node.region);
        node.inbox.clear();
        node.highestInForce = 0;
        node.running = true;
        node.stopping = false;
        node.pausedUntil = TimePoint();
        node.controller = std::make_unique<ConfigurationController>(node.blackboard,
            ConfigurationOptions {
                .seed = m_random.below(UINT64_MAX), .address = node.name, .incarnation = ++node.incarnation },
            now);
    }

    /// Announces the stop; the daemon continues to run until crash().
    void stop(size_t i)
    {
        auto& node = *nodes[i];
        if (!node.running || isPaused(i))
            return;
        node.stopping = true;
        node.controller->announceStopped(now);
    }

    void crash(size_t i) { nodes[i]->running = false; }
    void pause(size_t i, Duration duration) { nodes[i]->pausedUntil = now + duration; }
    bool isPaused(size_t i) const { return now < nodes[i]->pausedUntil; }

    /// Daemons of different groups cannot reach each other.
    void partition(const std::vector<int>& groups) { m_group = groups; }
    void heal() { m_group.assign(nodes.size(), 0); }

    std::string propose(size_t i, uint64_t value, std::optional<uint64_t> expected = std::nullopt)
    {
        auto& node = *nodes[i];
        if (!node.running || isPaused(i))
            return "";
        auto id = fmt::format("change-{}", ++m_changes);
        node.controller->propose({ .id = id,
                                     .document = documentOf(value),
                                     .expectedVersion = expected.value_or(node.controller->head().version),
                                     .operatorName = "kim",
                                     .time = "" },
            now);
        m_proposed.emplace(id, std::pair(i, node.incarnation));
        return id;
    }

    ChangeOutcome outcome(const std::string& id)
    {
        const auto& node = *nodes[m_proposed.at(id).first];
        return node.controller->changeState(id).value_or(ChangeState {}).outcome;
    }

    void run(Duration duration)
    {
        const auto end = now + duration;
        while (now < end && violations.empty())
            runTick();
    }

    /// Whether a daemon may start work now, by the same conditions as the dispatcher.
    bool mayStartWork(size_t i) const
    {
        const auto& node = *nodes[i];
        return node.running && !isPaused(i) && !node.blackboard.fenced
            && now < node.blackboard.workAllowedUntil;
    }

    uint64_t inForce(size_t i) const { return nodes[i]->blackboard.configuration->version; }

    /// Runs until all daemons work under the newest version and it is accepted; returns false on timeout.
    bool settlesWithin(Duration atMost)
    {
        const auto end = now + atMost;
        while (now < end && violations.empty()) {
            runTick();
            if (isSettled())
                return true;
        }
        return false;
    }

    bool isSettled() const
    {
        const auto newest = newestVersion();
        for (size_t i = 0; i < nodes.size(); ++i) {
            if (nodes[i]->running && (!mayStartWork(i) || inForce(i) != newest))
                return false;
        }
        return accepted == newest;
    }

    uint64_t newestVersion() const
    {
        uint64_t out = 0;
        for (const auto& [key, row] : store.rows)
            out += key.second.starts_with("version/") ? 1 : 0;
        return out;
    }

    /// The identifiers of the changes stored in the table.
    std::set<std::string> writtenChanges() const
    {
        std::set<std::string> out;
        for (const auto& [id, by] : m_proposed) {
            for (const auto& [key, row] : store.rows) {
                if (key.second.starts_with("version/")
                    && row.value.find("\"" + id + "\"") != std::string::npos)
                    out.insert(id);
            }
        }
        return out;
    }

    /// Checks every reported outcome against the content of the table.
    void checkOutcomes()
    {
        const auto written = writtenChanges();
        for (const auto& [id, by] : m_proposed) {
            const auto& node = *nodes[by.first];
            if (!node.running || node.incarnation != by.second)
                continue;
            const auto end = outcome(id);
            const bool isKnown = end != ChangeOutcome::Unresolved;
            if (isKnown && (end == ChangeOutcome::Committed) != written.contains(id))
                violations.push_back(fmt::format("{} was reported with outcome {} but is {}in the table", id,
                    static_cast<int>(end), written.contains(id) ? "" : "not "));
        }
    }

    std::vector<std::unique_ptr<Node>> nodes;
    FakeStore store;
    double loss = 0;
    double duplication = 0;
    Duration maxDelay = std::chrono::milliseconds(20);
    bool watchesAcceptance = true;
    TimePoint now { std::chrono::seconds(1000) };
    uint64_t accepted = 0;
    std::vector<std::string> violations;

private:
    struct Packet {
        TimePoint arrives;
        uint64_t order;
        size_t from;
        size_t to;
        PeerMessage message;
        bool operator>(const Packet& other) const
        {
            return std::tie(arrives, order) > std::tie(other.arrives, other.order);
        }
    };

    static constexpr Duration tick = std::chrono::milliseconds(10);
    static constexpr Duration membershipLag = std::chrono::milliseconds(1500);

    bool reaches(size_t from, size_t to) const { return m_group[from] == m_group[to]; }

    void runTick()
    {
        now += tick;
        store.run(now);
        deliverPackets();
        for (size_t i = 0; i < nodes.size(); ++i) {
            if (!nodes[i]->running || isPaused(i))
                continue;
            checkNode(i);
            runNode(i);
            collect(i);
            checkNode(i);
        }
    }

    void runNode(size_t i)
    {
        auto& node = *nodes[i];
        // Messages received during a pause are still in the socket buffers and are read first.
        for (auto& deliver : std::exchange(node.inbox, {}))
            deliver();
        updateMembers(i);
        if (watchesAcceptance)
            node.controller->watchAcceptance(now + tick, now);
        if (node.controller->nextWake() <= now)
            node.controller->step(now);
        accepted = std::max(accepted, node.controller->progress().accepted);
    }

    void updateMembers(size_t i)
    {
        auto& node = *nodes[i];
        for (size_t j = 0; j < nodes.size(); ++j) {
            const auto& other = *nodes[j];
            if (other.running && !isPaused(j) && reaches(i, j))
                node.lastReached[j] = now;
            const bool isAlive = now - node.lastReached[j] < membershipLag;
            node.blackboard.members[DaemonId(other.name)] = { .id = DaemonId(other.name),
                .region = RegionId(other.region),
                .dataCentre = DataCentreId(other.region),
                .address = other.name,
                .incarnation = other.incarnation,
                .status = isAlive ? MemberStatus::Alive : MemberStatus::Dead };
        }
    }

    void collect(size_t i)
    {
        auto& node = *nodes[i];
        for (auto& it : std::exchange(node.blackboard.outbox, {}))
            transmit(i, it);
        for (const auto& command : std::exchange(node.blackboard.storeOutbox, {})) {
            const auto receive = [this, i, incarnation = node.incarnation](const StoreReply& reply) {
                auto& to = *nodes[i];
                if (to.running && to.incarnation == incarnation)
                    to.inbox.push_back([this, i, reply] { nodes[i]->controller->receive(reply, now); });
            };
            if (node.reachesStore)
                store.submit(command, node.controller->head().version, now, receive);
            else
                receive({ .id = command.id, .user = command.user, .status = StoreStatus::Unavailable });
        }
    }

    void transmit(size_t from, const OutgoingMessage& message)
    {
        ++nodes[from]->messagesSent;
        const auto& name = message.address.empty() ? message.to.text() : message.address;
        const size_t to = std::stoul(name.substr(1));
        const int copies = m_random.chance(duplication) ? 2 : 1;
        for (int n = 0; n < copies; ++n) {
            if (m_random.chance(loss))
                continue;
            const auto delay = Duration(m_random.below(static_cast<uint64_t>(maxDelay.count()) + 1));
            m_packets.push({ now + delay, m_order++, from, to, message.message });
        }
    }

    void deliverPackets()
    {
        while (!m_packets.empty() && m_packets.top().arrives <= now) {
            auto packet = m_packets.top();
            m_packets.pop();
            if (!nodes[packet.to]->running || !reaches(packet.from, packet.to))
                continue;
            auto& inbox = nodes[packet.to]->inbox;
            inbox.push_back([this, packet = std::move(packet)] { deliver(packet); });
        }
    }

    void deliver(const Packet& packet)
    {
        const auto& from = nodes[packet.from]->name;
        auto& controller = *nodes[packet.to]->controller;
        std::visit(
            [&](const auto& message) {
                if constexpr (requires { controller.receive(DaemonId(from), from, message, now); })
                    controller.receive(DaemonId(from), from, message, now);
            },
            packet.message);
    }

    void checkNode(size_t i)
    {
        auto& node = *nodes[i];
        const auto version = inForce(i);
        if (version < node.highestInForce)
            violations.push_back(
                fmt::format("{} reverted from version {} to {}", node.name, node.highestInForce, version));
        node.highestInForce = std::max(node.highestInForce, version);
        if (mayStartWork(i) && version < accepted)
            violations.push_back(fmt::format(
                "{} may start work under version {} although {} was accepted", node.name, version, accepted));
        if (version == 0)
            return;
        const auto [it, isNew] = m_hashes.try_emplace(version, node.controller->inForce().hash);
        if (!isNew && it->second != node.controller->inForce().hash)
            violations.push_back(fmt::format("version {} has a different hash on {}", version, node.name));
    }

    Random m_random;
    uint64_t m_order = 0;
    uint64_t m_changes = 0;
    std::vector<int> m_group;
    std::priority_queue<Packet, std::vector<Packet>, std::greater<>> m_packets;
    std::map<std::string, std::pair<size_t, uint64_t>> m_proposed;
    std::map<uint64_t, std::string> m_hashes;
};

} // namespace lentilbay
