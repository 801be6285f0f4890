// What daemons tell each other about rollouts, and the row of the store in which the coordinator keeps the
// state of one.
#pragma once

#include "lentilbay/Edge/PeerWire.h"
#include "lentilbay/Policy/Rollout.h"
#include "lentilbay/Support/Result.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lentilbay::edge {

/// Hash of what the operator has ordered.
uint64_t orderContentOf(const RolloutOrder& order);

/// A daemon's totals, for the coordinator of the order.
struct RolloutReportMessage {
    /// hashOf() the service's name.
    uint64_t service = 0;
    /// When the report was sent, by the sender's clock.
    int64_t sentMicroseconds = 0;
    /// How long before that the sender knew, when it first saw the order, that there was none before; -1 if
    /// it does not know.
    int64_t orderAgeMicroseconds = -1;
    /// orderContentOf() the order, which daemons may know by different versions of its row after the store
    /// came back from an older copy.
    uint64_t orderContent = 0;
    RolloutReport report;

    auto operator<=>(const RolloutReportMessage&) const = default;
};

/// The answer to a report.
struct RolloutPermitMessage {
    uint64_t service = 0;
    /// Those of the report.
    uint64_t incarnation = 0;
    int64_t sentMicroseconds = 0;
    /// The sender of the answer.
    std::string daemon;
    /// The store does not answer the sender, so another daemon should coordinate the order.
    bool isStoreAway = false;
    /// Whether there is a permit.
    bool hasPermit = true;
    RolloutPermit permit;
    /// hashOf() the versions that served the service before the order, as far as the coordinator knows them.
    std::vector<uint64_t> formerVersions;

    auto operator<=>(const RolloutPermitMessage&) const = default;
};

using RolloutMessage = std::variant<RolloutReportMessage, RolloutPermitMessage>;

std::string encodeRolloutMessage(const RolloutMessage& message);
/// Whether a datagram is a message of this kind.
bool isRolloutMessage(std::string_view datagram);
/// Never throws.
Result<RolloutMessage> decodeRolloutMessage(std::string_view datagram);

/// The state of an order in the store.
struct RolloutRow {
    /// The order's target version and duration, by which the order is recognised if it has been written again
    /// after the store came back from an older copy.
    RolloutOrder order;
    RolloutState state;
    /// When the order was accepted, by the store's clock.
    uint64_t begunMilliseconds = 0;
    std::vector<uint64_t> formerVersions;

    auto operator<=>(const RolloutRow&) const = default;
};

std::string encodeRolloutRow(const RolloutRow& row);
/// Never throws.
Result<RolloutRow> decodeRolloutRow(std::string_view value);

} // namespace lentilbay::edge
