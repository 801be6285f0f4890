// Keeps in the platform's store where streams began, so that clients can resume them after all daemons were
// restarted at once.
//
// The store is used only while a service has, or has just had, endpoints of several software versions;
// otherwise the version is known without it. Each daemon writes the origins of the streams that began at it,
// many in one call, and removes them once the streams have ended. A daemon that is asked to resume a stream
// that no daemon knows reads its row. An origin never changes, so a row that is read is right whatever the
// store has lost; a stream without a row cannot be resumed.
#pragma once

#include "lentilbay/Edge/StoreWriter.h"
#include "lentilbay/Edge/StreamDirectory.h"

#include <deque>

namespace lentilbay::edge {

class StreamOriginStore {
public:
    StreamOriginStore(asio::io_context& context, const asio::ip::tcp::endpoint& store);

    using Finder = std::function<void(std::optional<StreamOrigin> origin)>;

    /// Writes the origin of a stream with the next call.
    void record(uint64_t stream, const StreamOrigin& origin);
    /// Reads the origin of a stream and calls `done`, later or from within this call.
    void find(uint64_t stream, Finder done, TimePoint now);
    /// Sends the next call, if one is due and there is anything to write or to remove; to be called at short
    /// intervals.
    /// @param daemons the size of the fleet, which shares the rate of calls that the store accepts
    void poll(size_t daemons, TimePoint now);

    /// Origins that the store has not yet acknowledged.
    size_t unwritten() const { return m_unwritten.size(); }
    /// Whether a call that writes or removes rows is in progress.
    bool isWriting() const { return m_writer.isBusy(); }
    /// Calls of all kinds so far.
    uint64_t calls() const { return m_calls; }
    uint64_t failures() const { return m_failures; }

private:
    struct Row {
        uint64_t stream = 0;
        StreamOrigin origin;
    };
    struct WrittenRow {
        uint64_t stream = 0;
        TimePoint writtenAt {};
    };

    void write(TimePoint now);

    asio::io_context& m_context;
    asio::ip::tcp::endpoint m_store;
    std::string m_host;
    StoreWriter m_writer;
    std::deque<Row> m_unwritten;
    /// In the order of their times.
    std::deque<WrittenRow> m_written;
    TimePoint m_nextCallAt {};
    size_t m_openReads = 0;
    uint64_t m_calls = 0;
    uint64_t m_failures = 0;
};

} // namespace lentilbay::edge
