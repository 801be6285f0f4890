// Sends commands to the platform's services and invokes a callback for each reply.
#pragma once

#include "lentilbay/Control/Blackboard.h"
#include "lentilbay/Control/StoreMessages.h"

#include <functional>
#include <unordered_map>
#include <utility>

namespace lentilbay {

class StoreCaller {
public:
    using Callback = std::function<void(const StoreReply& reply, TimePoint now)>;

    StoreCaller(Blackboard& blackboard, StoreUser user, Duration timeout)
        : m_blackboard(blackboard)
        , m_user(user)
        , m_timeout(timeout)
    {
    }

    void call(StoreOperation operation, Callback callback)
    {
        const auto id = ++m_lastId;
        m_callbacks.emplace(id, std::move(callback));
        m_blackboard.storeOutbox.push_back(
            { .id = id, .user = m_user, .operation = std::move(operation), .timeout = m_timeout });
    }

    /// Ignores a reply without a pending call, so duplicated replies are harmless.
    void receive(const StoreReply& reply, TimePoint now)
    {
        auto node = m_callbacks.extract(reply.id);
        if (!node.empty())
            node.mapped()(reply, now);
    }

private:
    Blackboard& m_blackboard;
    StoreUser m_user;
    Duration m_timeout;
    uint64_t m_lastId = 0;
    std::unordered_map<uint64_t, Callback> m_callbacks;
};

} // namespace lentilbay
