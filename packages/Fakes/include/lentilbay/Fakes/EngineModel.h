// A fake model engine without sockets or clock: continuous batching, a prefix cache and fault injection.
//
// Work proceeds in steps, as in real engines: each step produces one token for every decoding request and
// prefills a chunk of the pending prompts. Each decoding request past the knee lengthens the step.
#pragma once

#include "lentilbay/Fakes/PrefixCache.h"
#include "lentilbay/Support/Identifier.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilbay::fakes {

struct EngineOptions {
    double prefillTokensPerSecond = 20'000;
    /// The maximum number of prompt tokens prefilled in one step.
    uint32_t prefillChunk = 2'048;
    /// The time per output token while at most knee requests decode.
    Duration decodeStep = std::chrono::milliseconds(10);
    /// The number of requests that can decode together without slowing each other.
    uint32_t knee = 16;
    /// The fraction of decodeStep by which each decoding request past the knee lengthens the step.
    double slowdownPastKnee = 0.1;
    /// The maximum number of running requests; further ones queue in order of arrival.
    uint32_t maxRunning = 64;
    /// The capacity in tokens that running requests and the prefix cache share.
    uint64_t kvTokens = 400'000;
    bool checksFencing = false;
    /// How many finished requests are kept so that their streams can be resumed.
    size_t maxRetainedFinished = 1'000;
};

/// Injected faults, set through the stand-in's /control path.
struct EngineFaults {
    /// Multiplies the length of each step.
    double slowFactor = 1;
    /// While true, no step makes progress.
    bool stalled = false;
    /// Breaks one stream of each request after this many tokens of it; the work continues.
    std::optional<uint32_t> resetAfterTokens;
    /// The work is executed, but the connection breaks before the end of the answer.
    bool dropAnswers = false;
    /// New requests are refused without executing them.
    bool refuse = false;
    bool leaving = false;
    /// The age of load reports.
    Duration loadLag = std::chrono::milliseconds(200);
    Duration eventDelay {};
    /// Every cache event whose sequence number is a multiple of this is lost; 0 loses none.
    uint32_t eventGap = 0;

    auto operator<=>(const EngineFaults&) const = default;
};

struct EngineRequest {
    RequestId id;
    std::string model;
    /// Identifies the prompt.
    uint64_t digest = 0;
    uint32_t promptTokens = 0;
    std::vector<uint64_t> prefixHashes;
    /// At least 1.
    uint32_t answerTokens = 1;
};

enum class EngineEnd : uint8_t { Running, Whole, Cancelled, Refused };

/// One record for each request that reached the engine.
struct EngineRecord {
    RequestId id;
    std::string model;
    uint64_t digest = 0;
    TimePoint arrivedAt {};
    std::optional<TimePoint> firstTokenAt;
    std::optional<TimePoint> endedAt;
    uint32_t promptTokens = 0;
    /// Prompt tokens computed so far and prompt tokens found in the cache.
    uint32_t prefillComputed = 0;
    uint32_t prefillCached = 0;
    uint32_t answerTokens = 0;
    uint32_t tokensProduced = 0;
    EngineEnd end = EngineEnd::Running;
    /// The number of its streams that the engine broke.
    uint32_t brokenStreams = 0;

    auto operator<=>(const EngineRecord&) const = default;
};

/// An event for the reader of a stream.
struct EngineOutput {
    enum class Kind : uint8_t { Token, End, Break };

    uint64_t stream = 0;
    Kind kind = Kind::Token;
    /// The token's index; for End and Break the number of tokens produced.
    uint32_t index = 0;
    /// The position of the request's record in EngineModel::records().
    size_t record = 0;
};

struct EngineLoad {
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint64_t kvTokensUsed = 0;
    TimePoint at {};

    auto operator<=>(const EngineLoad&) const = default;
};

struct EngineOrder {
    enum class Action : uint8_t { Load, Unload, Role };

    uint64_t fencing = 0;
    Action action = Action::Load;
    std::string model;
    std::string version;
    /// Empty for the base model.
    std::string adapter;
    std::string role;
};

struct EngineOrderRecord {
    EngineOrder order;
    TimePoint at {};
    bool accepted = false;
};

struct LoadedModel {
    std::string version;
    std::set<std::string> adapters;
};

class EngineModel {
public:
    explicit EngineModel(EngineOptions options)
        : m_options(options)
    {
    }

    /// Queues a request and returns its first stream, or nullopt if the engine refuses it.
    std::optional<uint64_t> submit(const EngineRequest& request, TimePoint now);
    /// Opens another stream of the newest request with this id, starting at the token. Returns nullopt if the
    /// request is not retained.
    std::optional<uint64_t> resume(const RequestId& id, uint32_t from, TimePoint now);
    /// Stops all work with this id and breaks its streams.
    void cancel(const RequestId& id, TimePoint now);
    /// Removes a stream whose reader has disconnected; the work continues.
    void closeStream(uint64_t stream);

    /// Executes all steps that end by now.
    void advance(TimePoint now);
    /// When the current step ends; nullopt if there is no work or the engine is stalled.
    std::optional<TimePoint> nextWake() const { return m_stepEnds; }
    /// Removes and returns the outputs since the last call, in order.
    std::vector<EngineOutput> takeOutputs();

    void setFaults(const EngineFaults& faults, TimePoint now);
    const EngineFaults& faults() const { return m_faults; }
    /// When the engine began to leave; nullopt if it is not leaving.
    std::optional<TimePoint> leavingSince() const { return m_leavingSince; }

    /// The load as it was loadLag ago.
    EngineLoad reportedLoad(TimePoint now) const;
    /// The events after the sequence number that have been published by now, except lost ones.
    std::vector<CacheEvent> events(uint64_t after, TimePoint now) const;
    /// The hashes of the prefix that ends with this block, for import by another engine; nullopt if a block
    /// is missing.
    std::optional<std::vector<uint64_t>> exportPrefix(uint64_t hash) const
    {
        return m_cache.prefixChainOf(hash);
    }
    void importPrefix(const std::vector<uint64_t>& hashes, TimePoint now);

    /// Executes the order. Returns false if its fencing token is stale and the engine checks it.
    bool order(const EngineOrder& order, TimePoint now);
    uint64_t newestFencing() const { return m_newestFencing; }
    const std::map<std::string, LoadedModel>& models() const { return m_models; }
    const std::string& role() const { return m_role; }

    const EngineOptions& options() const { return m_options; }
    const std::vector<EngineRecord>& records() const { return m_records; }
    const std::vector<EngineOrderRecord>& orderRecords() const { return m_orderRecords; }

private:
    struct Stream {
        uint64_t number = 0;
        /// The index of the next token to send.
        uint32_t next = 0;
        uint32_t sent = 0;
    };
    struct Job {
        std::vector<uint64_t> prefixHashes;
        std::vector<Stream> streams;
        /// Prompt tokens that the current step prefills.
        uint32_t scheduledPrefill = 0;
        bool decoding = false;
    };

    void admit(TimePoint now);
    void beginStep(TimePoint now);
    void finishStep(TimePoint now);
    void produceToken(size_t record, TimePoint now);
    void serveStreams(size_t record, bool ended);
    void endJob(size_t record, EngineEnd end, TimePoint now);
    void evictFinished();
    void recordLoad(TimePoint now);
    uint64_t runningTokens() const;
    void shrinkCacheToFit(TimePoint now);
    std::optional<size_t> newestRecord(const RequestId& id) const;

    EngineOptions m_options;
    EngineFaults m_faults;
    std::optional<TimePoint> m_leavingSince;
    PrefixCache m_cache;

    std::vector<EngineRecord> m_records;
    /// Keyed by the record's index. Finished jobs stay until maxRetainedFinished others have finished.
    std::map<size_t, Job> m_jobs;
    std::deque<size_t> m_waiting;
    /// In order of admission.
    std::vector<size_t> m_running;
    std::deque<size_t> m_finished;
    std::optional<TimePoint> m_stepEnds;
    uint64_t m_lastStream = 0;
    std::vector<EngineOutput> m_outputs;
    /// Recent loads, oldest first.
    std::deque<EngineLoad> m_loads;

    std::map<std::string, LoadedModel> m_models;
    std::string m_role;
    uint64_t m_newestFencing = 0;
    std::vector<EngineOrderRecord> m_orderRecords;
};

} // namespace lentilbay::fakes
