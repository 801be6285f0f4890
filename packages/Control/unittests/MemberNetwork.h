// A network of daemons in virtual time with loss, delay, reordering, duplication, partitions and pauses.
#pragma once

#include "lentilbay/Control/MembershipController.h"
#include "lentilbay/Support/Random.h"

#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace lentilbay {

struct MemberNetworkOptions {
    uint64_t seed = 1;
    double loss = 0;
    double duplication = 0;
    Duration minDelay = std::chrono::microseconds(300);
    Duration maxDelay = std::chrono::milliseconds(2);
};

class MemberNetwork {
public:
    struct Node {
        Blackboard blackboard;
        std::unique_ptr<MembershipController> membership;
        bool running = true;
        bool paused = false;
        uint64_t messagesSent = 0;
    };

    /// Called for each message that a daemon sends, before any loss.
    std::function<void(const Node& from, const OutgoingMessage&)> onSend;
    /// Whether messages from one daemon reach another; all do if it is empty.
    std::function<bool(const Node& from, const Node& to)> reaches;

    explicit MemberNetwork(MemberNetworkOptions initialOptions)
        : options(initialOptions)
        , m_random(initialOptions.seed)
    {
    }

    static std::string addressOf(const std::string& name) { return "addr:" + name; }

    Node& start(const std::string& name, const std::string& region, const std::string& dataCentre,
        std::vector<std::string> seeds, uint64_t incarnation = 1)
    {
        auto node = std::make_unique<Node>();
        node->blackboard.self = DaemonId(name);
        node->blackboard.region = RegionId(region);
        node->blackboard.dataCentre = DataCentreId(dataCentre);
        for (auto& it : seeds)
            it = addressOf(it);
        node->membership = std::make_unique<MembershipController>(node->blackboard,
            MembershipOptions { .seed = m_random.below(UINT64_MAX),
                .address = addressOf(name),
                .incarnation = incarnation,
                .seeds = std::move(seeds) },
            now);
        auto& out = *node;
        nodes[addressOf(name)] = std::move(node);
        return out;
    }

    Node& node(const std::string& name) { return *nodes.at(addressOf(name)); }

    void run(Duration duration)
    {
        const auto end = now + duration;
        while (now < end) {
            now += tick;
            deliverDue();
            for (auto& [address, node] : nodes) {
                if (node->running && !node->paused && node->membership->nextWake() <= now)
                    node->membership->step(now);
            }
            collect();
        }
    }

    /// Sends the messages in all outboxes.
    void collect()
    {
        for (auto& [address, node] : nodes) {
            for (auto& it : std::exchange(node->blackboard.outbox, {}))
                transmit(*node, address, std::move(it));
        }
    }

    MemberStatus statusAt(const std::string& observer, const std::string& subject)
    {
        const auto& members = node(observer).blackboard.members;
        auto it = members.find(DaemonId(subject));
        return it == members.end() ? MemberStatus::Dead : it->second.status;
    }

    /// May be changed while the network runs.
    MemberNetworkOptions options;
    std::map<std::string, std::unique_ptr<Node>> nodes;
    TimePoint now { std::chrono::seconds(1000) };

private:
    struct Packet {
        TimePoint arrives;
        uint64_t order;
        std::string from;
        std::string to;
        OutgoingMessage message;
        bool operator>(const Packet& other) const
        {
            return std::tie(arrives, order) > std::tie(other.arrives, other.order);
        }
    };

    static constexpr Duration tick = std::chrono::milliseconds(10);

    void transmit(Node& from, const std::string& fromAddress, OutgoingMessage message)
    {
        auto to = message.address;
        if (to.empty()) {
            auto it = from.blackboard.members.find(message.to);
            if (it == from.blackboard.members.end())
                return;
            to = it->second.address;
        }
        ++from.messagesSent;
        if (onSend)
            onSend(from, message);
        const int copies = m_random.chance(options.duplication) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (m_random.chance(options.loss))
                continue;
            const auto spread = static_cast<uint64_t>((options.maxDelay - options.minDelay).count());
            const auto delay = options.minDelay + Duration(m_random.below(spread + 1));
            m_packets.push({ now + delay, m_order++, fromAddress, to, message });
        }
    }

    void deliverDue()
    {
        while (!m_packets.empty() && m_packets.top().arrives <= now) {
            const auto packet = m_packets.top();
            m_packets.pop();
            auto to = nodes.find(packet.to);
            auto from = nodes.find(packet.from);
            if (to == nodes.end() || from == nodes.end() || !to->second->running || to->second->paused)
                continue;
            if (reaches && !reaches(*from->second, *to->second))
                continue;
            deliver(*to->second, from->second->blackboard.self, packet);
        }
    }

    void deliver(Node& to, const DaemonId& from, const Packet& packet)
    {
        std::visit(
            [&](const auto& message) {
                if constexpr (requires { to.membership->receive(from, packet.from, message, now); })
                    to.membership->receive(from, packet.from, message, now);
            },
            packet.message.message);
    }

    Random m_random;
    uint64_t m_order = 0;
    std::priority_queue<Packet, std::vector<Packet>, std::greater<>> m_packets;
};

} // namespace lentilbay
