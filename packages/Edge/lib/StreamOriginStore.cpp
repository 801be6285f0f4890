// Rows of the platform's store about the origins of streams.
#include "lentilbay/Edge/StreamOriginStore.h"

#include "lentilbay/platform/StoreCalls.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace lentilbay::edge {
namespace {

constexpr std::string_view table = "streams";
/// A stream that begins is in the store after the spacing and the store's response time.
constexpr Duration minSpacing = std::chrono::milliseconds(100);
/// For each daemon: the fleet makes 60 calls a second, a third of what a partition of the store takes.
constexpr Duration spacingPerDaemon = std::chrono::milliseconds(16);
constexpr Duration spacingAfterFailure = std::chrono::seconds(1);
/// Longer than a client takes for all attempts of a stream.
constexpr Duration rowLifetime = std::chrono::seconds(45);
/// A call may hold 100 entries.
constexpr size_t maxRowsPerCall = 50;
constexpr size_t maxUnwritten = 4096;
constexpr size_t maxOpenReads = 64;
/// A client waits for it.
constexpr Duration readTimeout = std::chrono::milliseconds(400);
/// A row has some 100 bytes, a response with one some 200.
constexpr size_t maxResponseBytes = 4096;
constexpr int hexadecimal = 16;

std::string keyOf(uint64_t stream) { return fmt::format("{:016x}", stream); }

std::string encodeOrigin(const StreamOrigin& origin)
{
    return fmt::format("{:x},{:x}", origin.service, origin.version);
}

std::optional<StreamOrigin> decodeOrigin(std::string_view text)
{
    StreamOrigin out;
    const auto* end = text.data() + text.size();
    const auto service = std::from_chars(text.data(), end, out.service, hexadecimal);
    if (service.ec != std::errc() || service.ptr == end || *service.ptr != ',')
        return std::nullopt;
    const auto version = std::from_chars(service.ptr + 1, end, out.version, hexadecimal);
    return version.ec == std::errc() && version.ptr == end ? std::optional(out) : std::nullopt;
}

std::optional<StreamOrigin> originIn(std::string_view body, uint64_t stream)
{
    // The era does not matter for rows that never change.
    const auto decoded = outcomeOf<platform::StoreRows>([&] { return platform::decodeRows(body, 0); });
    const auto* rows = std::get_if<platform::StoreRows>(&decoded);
    if (!rows)
        return std::nullopt;
    const auto it = std::ranges::find(rows->rows, keyOf(stream), &platform::StoreRow::key);
    return it == rows->rows.end() ? std::nullopt : decodeOrigin(it->value);
}

} // namespace

StreamOriginStore::StreamOriginStore(asio::io_context& context, const asio::ip::tcp::endpoint& store)
    : m_context(context)
    , m_store(store)
    , m_host(fmt::format("{}:{}", store.address().to_string(), store.port()))
    , m_writer(context, store)
{
}

void StreamOriginStore::record(uint64_t stream, const StreamOrigin& origin)
{
    if (m_unwritten.size() >= maxUnwritten)
        m_unwritten.pop_front();
    m_unwritten.push_back({ .stream = stream, .origin = origin });
}

void StreamOriginStore::poll(size_t daemons, TimePoint now)
{
    if (now < m_nextCallAt || m_writer.isBusy())
        return;
    const bool hasExpired = !m_written.empty() && now - m_written.front().writtenAt > rowLifetime;
    if (m_unwritten.empty() && !hasExpired)
        return;
    m_nextCallAt = now + std::max(minSpacing, spacingPerDaemon * static_cast<int64_t>(daemons));
    write(now);
}

void StreamOriginStore::write(TimePoint now)
{
    const auto n = static_cast<std::ptrdiff_t>(std::min(m_unwritten.size(), maxRowsPerCall));
    std::vector<Row> batch(m_unwritten.begin(), m_unwritten.begin() + n);
    m_unwritten.erase(m_unwritten.begin(), m_unwritten.begin() + n);
    std::vector<platform::RowToWrite> rows;
    rows.reserve(batch.size());
    for (const auto& it : batch)
        rows.push_back({ .key = keyOf(it.stream), .value = encodeOrigin(it.origin) });
    std::vector<std::string> expired;
    for (const auto& it : m_written) {
        if (expired.size() == maxRowsPerCall || now - it.writtenAt <= rowLifetime)
            break;
        expired.push_back(keyOf(it.stream));
    }
    ++m_calls;
    m_writer.send(platform::changeRowsRequest(m_host, table, rows, expired),
        [this, batch = std::move(batch), removed = expired.size(), now](bool acknowledged) {
            if (!acknowledged) {
                ++m_failures;
                m_nextCallAt = now + spacingAfterFailure;
                m_unwritten.insert(m_unwritten.begin(), batch.begin(), batch.end());
                return;
            }
            m_written.erase(m_written.begin(), m_written.begin() + static_cast<std::ptrdiff_t>(removed));
            for (const auto& it : batch)
                m_written.push_back({ .stream = it.stream, .writtenAt = now });
        });
}

void StreamOriginStore::find(uint64_t stream, Finder done, TimePoint now)
{
    if (m_openReads >= maxOpenReads) {
        done(std::nullopt);
        return;
    }
    ++m_openReads;
    ++m_calls;
    auto call = std::make_shared<http::ClientConnection>(m_context);
    auto timer = std::make_shared<asio::steady_timer>(m_context, readTimeout);
    // Called once, by whatever ends the call first.
    auto finish = [this, call, timer, stream, now, done = std::move(done), isOver = false](
                      const std::optional<StreamOrigin>& origin, bool isRead) mutable {
        if (std::exchange(isOver, true))
            return;
        timer->cancel();
        call->close();
        --m_openReads;
        if (!isRead)
            ++m_failures;
        // The daemon that wrote the row may be gone, so this one removes it.
        if (origin)
            m_written.push_back({ .stream = stream, .writtenAt = now });
        done(origin);
    };
    const auto shared = std::make_shared<decltype(finish)>(std::move(finish));
    timer->async_wait([shared](std::error_code ec) {
        if (!ec)
            (*shared)(std::nullopt, false);
    });
    call->connect(m_store, readTimeout, [this, call, stream, shared](bool isConnected) {
        if (!isConnected) {
            (*shared)(std::nullopt, false);
            return;
        }
        const auto body = std::make_shared<std::string>();
        const auto isAnswered = std::make_shared<bool>(false);
        call->exchange(platform::readRowRequest(m_host, table, keyOf(stream)), false,
            { .head =
                    [isAnswered](const http::HttpResponseHead& head) {
                        constexpr int ok = 200;
                        *isAnswered = head.status == ok;
                        return true;
                    },
                .body =
                    [body](std::string_view piece) {
                        if (body->size() + piece.size() <= maxResponseBytes)
                            body->append(piece);
                    },
                .complete =
                    [body, stream, shared, isAnswered] {
                        (*shared)(*isAnswered ? originIn(*body, stream) : std::optional<StreamOrigin>(),
                            *isAnswered);
                    },
                .failed = [shared](http::FailurePoint) { (*shared)(std::nullopt, false); } });
    });
}

} // namespace lentilbay::edge
