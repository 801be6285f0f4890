// Simulates the platform's table and object services in virtual time, with outages, lost replies and delayed
// writes.
#pragma once

#include "lentilbay/Control/StoreMessages.h"
#include "lentilbay/Support/Random.h"

#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace lentilbay {

class FakeStore {
public:
    using Reply = std::function<void(const StoreReply&)>;

    explicit FakeStore(uint64_t seed)
        : m_random(seed)
    {
    }

    /// Injected faults; may be changed at any time.
    bool tableUnavailable = false;
    bool objectsUnavailable = false;
    /// Replies to writes are lost. The writes take effect within twice the caller's time-out.
    bool losesReplies = false;
    /// Reads of the head by callers that have seen the newest version return the previous version.
    bool servesStaleHead = false;
    Duration maxDelay = std::chrono::milliseconds(5);

    /// `knownVersion` is the newest version of the head that the caller has seen.
    void submit(const StoreCommand& command, uint64_t knownVersion, TimePoint now, Reply reply)
    {
        ++operations;
        const auto answersAt = now + delay();
        const bool isObject = std::holds_alternative<ObjectPut>(command.operation)
            || std::holds_alternative<ObjectGet>(command.operation);
        if (isObject ? objectsUnavailable : tableUnavailable)
            return sendReply(answersAt, std::move(reply), { .status = StoreStatus::Unavailable }, command);
        const bool isWrite = std::holds_alternative<TableTransaction>(command.operation);
        if (isWrite && losesReplies) {
            const auto effect
                = now + Duration(m_random.below(static_cast<uint64_t>(2 * command.timeout.count())));
            schedule(effect, [this, command] { execute(command, 0); });
            return sendReply(
                now + command.timeout, std::move(reply), { .status = StoreStatus::Ambiguous }, command);
        }
        // The command takes effect immediately and the reply is delayed, so replies may be outdated on
        // arrival.
        sendReply(answersAt, std::move(reply), execute(command, knownVersion), command);
    }

    void run(TimePoint now)
    {
        while (!m_events.empty() && m_events.top().time <= now) {
            const auto event = m_events.top();
            m_events.pop();
            event.action();
        }
    }

    std::map<std::pair<std::string, std::string>, TableRow> rows;
    std::map<std::string, std::string> objects;
    uint64_t operations = 0;
    uint64_t bytesWritten = 0;

private:
    struct Event {
        TimePoint time;
        uint64_t order;
        std::function<void()> action;
        bool operator>(const Event& other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    Duration delay() { return Duration(m_random.below(static_cast<uint64_t>(maxDelay.count()) + 1)); }

    void schedule(TimePoint time, std::function<void()> action)
    {
        m_events.push({ time, m_order++, std::move(action) });
    }

    void sendReply(TimePoint time, Reply reply, StoreReply content, const StoreCommand& command)
    {
        content.id = command.id;
        content.user = command.user;
        schedule(time, [reply = std::move(reply), content = std::move(content)] { reply(content); });
    }

    std::optional<TableRow> find(const TableKey& key) const
    {
        const auto it = rows.find({ key.table, key.key });
        return it == rows.end() ? std::nullopt : std::optional(it->second);
    }

    StoreReply execute(const StoreCommand& command, uint64_t knownVersion)
    {
        return std::visit(
            [&](const auto& operation) { return run(operation, knownVersion); }, command.operation);
    }

    StoreReply run(const TableRead& read, uint64_t knownVersion)
    {
        StoreReply reply { .status = StoreStatus::Done };
        for (const auto& key : read.keys) {
            const bool isStale
                = servesStaleHead && key.key == "head" && m_staleHead && knownVersion > m_staleHeadVersion;
            reply.rows.push_back(isStale ? m_staleHead : find(key));
        }
        return reply;
    }

    StoreReply run(const TableScan& scan, uint64_t)
    {
        StoreReply reply { .status = StoreStatus::Done };
        for (const auto& [key, row] : rows) {
            const bool matches
                = key.first == scan.table && key.second.starts_with(scan.prefix) && key.second > scan.after;
            if (matches && reply.rows.size() < scan.limit)
                reply.rows.emplace_back(row);
        }
        return reply;
    }

    StoreReply run(const TableTransaction& transaction, uint64_t)
    {
        StoreReply reply { .status = StoreStatus::Done };
        for (const auto& write : transaction.writes) {
            const auto present = find(write.key);
            reply.rows.push_back(present);
            if (write.expectedVersion && *write.expectedVersion != (present ? present->version : 0))
                reply.status = StoreStatus::Conflict;
        }
        if (reply.status == StoreStatus::Conflict)
            return reply;
        for (const auto& write : transaction.writes)
            apply(write);
        reply.rows.clear();
        return reply;
    }

    void apply(const TableWrite& write)
    {
        const std::pair key(write.key.table, write.key.key);
        if (!write.value) {
            rows.erase(key);
            return;
        }
        if (write.key.key == "head") {
            m_staleHead = find(write.key);
            m_staleHeadVersion = m_headVersion++;
        }
        auto& row = rows[key];
        row = { .key = write.key.key, .value = *write.value, .version = row.version + 1 };
        bytesWritten += write.value->size();
    }

    StoreReply run(const ObjectPut& put, uint64_t)
    {
        objects[put.key] = put.body;
        return { .status = StoreStatus::Done };
    }

    StoreReply run(const ObjectGet& get, uint64_t)
    {
        const auto it = objects.find(get.key);
        if (it == objects.end())
            return { .status = StoreStatus::Missing };
        return { .status = StoreStatus::Done, .body = it->second };
    }

    Random m_random;
    uint64_t m_order = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::optional<TableRow> m_staleHead;
    uint64_t m_staleHeadVersion = 0;
    uint64_t m_headVersion = 0;
};

} // namespace lentilbay
