// A fake model engine without sockets or clock: continuous batching, a prefix cache, and faults on demand.
//
// Work goes in steps, as in real engines: each step gives one token to every request that decodes and reads a
// chunk of the prompts that wait to be read. Past the knee each further request lengthens the step.
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
    /// Prompt tokens that one second of prefill reads.
    double prefillTokensPerSecond = 20'000;
    /// Prompt tokens read in one step at most.
    uint32_t prefillChunk = 2'048;
    /// The time between two tokens up to the knee.
    Duration decodeStep = std::chrono::milliseconds(10);
    /// Requests that decode together without slowing each other.
    uint32_t knee = 16;
    /// The part of decodeStep by which each request past the knee lengthens the step.
    double slowdownPastKnee = 0.1;
    /// Requests that run at once; others wait in the engine in the order of their arrival.
    uint32_t maxRunning = 64;
    /// Tokens that running requests and the prefix cache share.
    uint64_t kvTokens = 400'000;
    bool checksFencing = false;
    /// Finished requests that can still be resumed.
    size_t keptFinished = 1'000;
};

/// What /control sets.
struct EngineFaults {
    /// Multiplies the length of each step.
    double slowFactor = 1;
    /// No step is done while this holds.
    bool stalled = false;
    /// Breaks each stream once after so many tokens of it; the work goes on.
    std::optional<uint32_t> resetAfterTokens;
    /// The work is done but the answer's end never arrives: the connection breaks in its place.
    bool dropAnswers = false;
    /// New requests are refused and not run.
    bool refuse = false;
    bool leaving = false;
    /// How old load reports are.
    Duration loadLag = std::chrono::milliseconds(200);
    Duration eventDelay {};
    /// Each cache event whose number it divides is lost; 0 loses none.
    uint32_t eventGap = 0;

    auto operator<=>(const EngineFaults&) const = default;
};

struct EngineRequest {
    RequestId id;
    std::string model;
    /// Names the prompt.
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
    /// Of the prompt's tokens, those read so far and those found in the cache.
    uint32_t prefillComputed = 0;
    uint32_t prefillCached = 0;
    uint32_t answerTokens = 0;
    uint32_t tokensProduced = 0;
    EngineEnd end = EngineEnd::Running;
    /// Streams of it that the engine broke or whose end it withheld.
    uint32_t brokenStreams = 0;

    auto operator<=>(const EngineRecord&) const = default;
};

/// Something that a stream's reader must be told.
struct EngineOutput {
    enum class Kind : uint8_t { Token, End, Break };

    uint64_t stream = 0;
    Kind kind = Kind::Token;
    /// The token's index; for End and Break the tokens produced.
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

    /// Takes a request and returns its first stream, or nothing where the engine refuses it.
    std::optional<uint64_t> submit(const EngineRequest& request, TimePoint now);
    /// A further stream of the newest request with this id from a token on; nothing where it is not held.
    std::optional<uint64_t> resume(const RequestId& id, uint32_t from, TimePoint now);
    /// Stops all work with this id; its streams break.
    void cancel(const RequestId& id, TimePoint now);
    /// Forgets a reader that went away; the work goes on.
    void closeStream(uint64_t stream);

    /// Does all steps that end by now.
    void advance(TimePoint now);
    /// When the present step ends; nothing where there is no work.
    std::optional<TimePoint> nextWake() const { return m_stepEnds; }
    /// The outputs since the last call, in their order.
    std::vector<EngineOutput> takeOutputs();

    void setFaults(const EngineFaults& faults, TimePoint now);
    const EngineFaults& faults() const { return m_faults; }
    /// Since when the engine has been leaving.
    std::optional<TimePoint> leavingSince() const { return m_leavingSince; }

    /// The load as it was loadLag ago.
    EngineLoad reportedLoad(TimePoint now) const;
    /// Events after the sequence number that have been published by now, without the lost ones.
    std::vector<CacheEvent> events(uint64_t after, TimePoint now) const;
    /// The hashes of the blocks up to this one, to be given to another engine.
    std::optional<std::vector<uint64_t>> exportPrefix(uint64_t hash) const { return m_cache.chainOf(hash); }
    void importPrefix(const std::vector<uint64_t>& hashes, TimePoint now);

    /// Carries the order out, or returns false where its fencing number is old and the engine checks it.
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
        /// The next token to hand out.
        uint32_t next = 0;
        uint32_t sent = 0;
    };
    struct Job {
        std::vector<uint64_t> prefixHashes;
        std::vector<Stream> streams;
        /// Prompt tokens to be read in the present step.
        uint32_t reading = 0;
        bool decoding = false;
    };

    void admit(TimePoint now);
    void beginStep(TimePoint now);
    void finishStep(TimePoint now);
    void produceToken(size_t record, TimePoint now);
    void serveStreams(size_t record, bool ended);
    void endJob(size_t record, EngineEnd end, TimePoint now);
    void forgetFinished();
    void noteLoad(TimePoint now);
    uint64_t runningTokens() const;
    void fitCache(TimePoint now);
    std::optional<size_t> newestRecord(const RequestId& id) const;

    EngineOptions m_options;
    EngineFaults m_faults;
    std::optional<TimePoint> m_leavingSince;
    PrefixCache m_cache;

    std::vector<EngineRecord> m_records;
    /// By position of the record; finished ones stay until keptFinished others have finished.
    std::map<size_t, Job> m_jobs;
    std::deque<size_t> m_waiting;
    /// In the order in which they were admitted.
    std::vector<size_t> m_running;
    std::deque<size_t> m_finished;
    std::optional<TimePoint> m_stepEnds;
    uint64_t m_lastStream = 0;
    std::vector<EngineOutput> m_outputs;
    /// The loads of the last seconds, oldest first.
    std::deque<EngineLoad> m_loads;

    std::map<std::string, LoadedModel> m_models;
    std::string m_role;
    uint64_t m_newestFencing = 0;
    std::vector<EngineOrderRecord> m_orderRecords;
};

} // namespace lentilbay::fakes
