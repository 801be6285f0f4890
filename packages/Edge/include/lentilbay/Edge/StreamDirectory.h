// Finds the software version that began a stream, so that a client that resumes it at another daemon gets the
// rest from that version.
//
// Each stream has a few owners, selected among the daemons that are alive by rendezvous hashing of its id.
// The daemon at which a stream begins tells them its origin at once, and a daemon that does not know the
// origin of a stream asks them, then all others. Thus the cost of a stream does not grow with the fleet, and
// the answer outlives the daemon that served the stream. An origin that no daemon knows stays unknown.
#pragma once

#include "lentilbay/Edge/PeerWire.h"
#include "lentilbay/Support/Result.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lentilbay::edge {

/// Where a stream began.
struct StreamOrigin {
    /// hashOf() the service's name.
    uint64_t service = 0;
    /// hashOf() the software version of the endpoint.
    uint64_t version = 0;

    auto operator<=>(const StreamOrigin&) const = default;
};

/// What a daemon tells or asks another one about a stream.
struct StreamMessage {
    enum class Kind : uint8_t {
        /// The stream began there.
        Record,
        /// Where did the stream begin?
        Query,
        /// The answer to a query.
        Answer,
    };

    Kind kind = Kind::Record;
    uint64_t stream = 0;
    /// hashOf() the name of the service that the stream is expected to belong to; only in a query.
    uint64_t service = 0;
    /// Empty in a query, and in the answer of a daemon that does not know it.
    std::optional<StreamOrigin> origin;

    auto operator<=>(const StreamMessage&) const = default;
};

/// @param receiver what the receiver's build understands
std::string encodeStreamMessage(const StreamMessage& message, WireRevision receiver = newestWireRevision);
/// Whether a datagram is a message of this kind, not a heartbeat.
bool isStreamMessage(std::string_view datagram);
/// Never throws. Reads messages of any revision.
Result<StreamMessage> decodeStreamMessage(std::string_view datagram);
/// What the sender of a stream message must at least understand, as its layout shows.
WireRevision revisionOfStreamMessage(std::string_view datagram);

class StreamDirectory {
public:
    /// Sends a message to a daemon. It may be lost.
    using Sender = std::function<void(const std::string& daemon, const StreamMessage& message)>;
    using Finder = std::function<void(std::optional<StreamOrigin> origin)>;

    void setSender(Sender sender) { m_send = std::move(sender); }
    /// Sets the other daemons that are alive.
    void setDaemons(const std::string& self, std::vector<std::string> others);

    /// Records where a stream began, and tells its owners if `isShared`.
    void record(uint64_t stream, const StreamOrigin& origin, bool isShared, TimePoint now);
    /// The origin as far as this daemon knows it.
    std::optional<StreamOrigin> known(uint64_t stream) const;
    /// Asks the other daemons and calls `done` with the origin, later or from within this call. Dropped
    /// without a call of `done` if this daemon ends.
    void find(uint64_t stream, uint64_t service, Finder done, TimePoint now);
    /// Applies a record or an answer.
    void apply(const StreamMessage& message, TimePoint now);
    /// Asks further daemons, or gives up, where answers are overdue; to be called at short intervals. Also
    /// drops origins of streams that ended long ago.
    void poll(TimePoint now);
    /// Whether other daemons have been asked for the origin of a stream.
    bool hasQueries() const { return !m_queries.empty(); }

    /// The number of streams whose origin is being asked for.
    size_t openQueries() const { return m_queries.size(); }

private:
    struct Query {
        std::vector<Finder> done;
        TimePoint askedAt {};
        size_t unanswered = 0;
        uint64_t service = 0;
        /// The owners were asked, and then all other daemons.
        bool hasAskedAll = false;
    };

    std::vector<std::string> ownersOf(uint64_t stream) const;
    void askOwners(uint64_t stream, Query& query, TimePoint now);
    /// Returns false if there is nobody else to ask.
    bool askOthers(uint64_t stream, Query& query, TimePoint now);
    void finish(uint64_t stream, std::optional<StreamOrigin> origin);
    void insert(uint64_t stream, const StreamOrigin& origin, TimePoint now);

    Sender m_send;
    std::string m_self;
    std::vector<std::string> m_others;
    /// Origins in two generations, each of a bounded size and age.
    std::unordered_map<uint64_t, StreamOrigin> m_origins;
    std::unordered_map<uint64_t, StreamOrigin> m_originsBefore;
    TimePoint m_generationAt {};
    std::unordered_map<uint64_t, Query> m_queries;
};

} // namespace lentilbay::edge
