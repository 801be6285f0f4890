// Origins of streams, and the messages about them.
#include "lentilbay/Edge/StreamDirectory.h"

#include "CompactFields.h"
#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <cassert>
#include <cereal/archives/portable_binary.hpp>
#include <sstream>
#include <utility>

namespace lentilbay::edge {

template <class Archive> void serialize(Archive& archive, StreamOrigin& it)
{
    archive(it.service, it.version);
}

namespace {

/// The start of each message, followed in the lowest byte by the number of its layout.
constexpr uint32_t magic = 0x4c42'5400;
constexpr uint32_t layoutMask = 0xff;
constexpr uint32_t firstLayout = 0x01;
/// The presence of an origin is a flag at the start.
constexpr uint32_t flaggedLayout = 0x02;

uint32_t layoutFor(WireRevision revision)
{
    return revision < WireRevision::ConfigurationVersion ? firstLayout : flaggedLayout;
}

template <class Archive> void serialize(Archive& archive, StreamMessage& it, uint32_t layout)
{
    // Not cereal's optional, which reads a bool from a byte of any value.
    bool hasOrigin = it.origin.has_value();
    if (layout >= flaggedLayout)
        compact::flags(archive, hasOrigin);
    archive(it.kind, it.stream, it.service);
    if (layout < flaggedLayout) {
        bool isEmpty = !hasOrigin;
        compact::flags(archive, isEmpty);
        hasOrigin = !isEmpty;
    }
    if (hasOrigin) {
        auto origin = it.origin.value_or(StreamOrigin {});
        archive(origin);
        it.origin = origin;
    }
}

/// Several daemons may be lost at once, the one at which the stream began among them.
constexpr size_t ownersOfStream = 3;
/// Many round trips between regions; a client that resumes a stream waits for it.
constexpr Duration answerTimeout = std::chrono::milliseconds(120);
/// A generation lasts longer than a client takes to resume a stream, including its earlier attempts.
constexpr Duration generationLifetime = std::chrono::seconds(45);
constexpr size_t maxOrigins = 16'384;
constexpr size_t maxQueries = 1024;

/// Reads the start of a message; returns the layout, or 0 if it is not a stream message.
template <class Archive> uint32_t readLayout(Archive& archive)
{
    uint32_t start = 0;
    archive(start);
    return (start & ~layoutMask) == magic ? start & layoutMask : 0;
}

uint32_t layoutOf(std::string_view datagram)
{
    try {
        std::istringstream in { std::string(datagram.substr(0, 1 + sizeof magic)) };
        cereal::PortableBinaryInputArchive archive(in);
        return readLayout(archive);
    } catch (const std::exception&) {
        return 0;
    }
}

} // namespace

std::string encodeStreamMessage(const StreamMessage& message, WireRevision receiver)
{
    const auto layout = layoutFor(receiver);
    auto out = message;
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(magic | layout);
        serialize(archive, out, layout);
    }
    return std::move(stream).str();
}

bool isStreamMessage(std::string_view datagram) { return layoutOf(datagram) != 0; }

WireRevision revisionOfStreamMessage(std::string_view datagram)
{
    return layoutOf(datagram) < flaggedLayout ? WireRevision::Base : WireRevision::ConfigurationVersion;
}

Result<StreamMessage> decodeStreamMessage(std::string_view datagram)
{
    try {
        std::istringstream in { std::string(datagram) };
        cereal::PortableBinaryInputArchive archive(in);
        StreamMessage out;
        const auto layout = readLayout(archive);
        if (layout < firstLayout || layout > flaggedLayout)
            return fail(ResultCode::MalformedRequest, "datagram is not a stream message of a known layout");
        serialize(archive, out, layout);
        if (out.kind > StreamMessage::Kind::Answer)
            return fail(ResultCode::MalformedRequest, "a stream message is of an unknown kind");
        return out;
    } catch (const std::exception& error) {
        return fail(ResultCode::MalformedRequest, error.what());
    }
}

void StreamDirectory::setDaemons(const std::string& self, std::vector<std::string> others)
{
    m_self = self;
    m_others = std::move(others);
}

std::vector<std::string> StreamDirectory::ownersOf(uint64_t stream) const
{
    // This daemon takes part in the order, so that all daemons select the same owners.
    std::vector<std::pair<uint64_t, std::string>> order { { hashOf(m_self, stream), m_self } };
    for (const auto& it : m_others)
        order.emplace_back(hashOf(it, stream), it);
    const auto n = std::min(order.size(), ownersOfStream);
    std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(n));
    std::vector<std::string> out;
    for (size_t i = 0; i < n; ++i) {
        if (order[i].second != m_self)
            out.push_back(std::move(order[i].second));
    }
    return out;
}

void StreamDirectory::insert(uint64_t stream, const StreamOrigin& origin, TimePoint now)
{
    if (m_origins.size() >= maxOrigins || now - m_generationAt > generationLifetime) {
        m_originsBefore = std::exchange(m_origins, {});
        m_generationAt = now;
    }
    m_origins.insert_or_assign(stream, origin);
}

void StreamDirectory::record(uint64_t stream, const StreamOrigin& origin, bool isShared, TimePoint now)
{
    insert(stream, origin, now);
    if (!isShared)
        return;
    for (const auto& it : ownersOf(stream))
        m_send(it, { .kind = StreamMessage::Kind::Record, .stream = stream, .origin = origin });
}

std::optional<StreamOrigin> StreamDirectory::known(uint64_t stream) const
{
    for (const auto* origins : { &m_origins, &m_originsBefore }) {
        if (const auto it = origins->find(stream); it != origins->end())
            return it->second;
    }
    return std::nullopt;
}

void StreamDirectory::find(uint64_t stream, uint64_t service, Finder done, TimePoint now)
{
    if (m_others.empty() || m_queries.size() >= maxQueries) {
        done(std::nullopt);
        return;
    }
    auto [it, isNew] = m_queries.try_emplace(stream);
    it->second.done.push_back(std::move(done));
    it->second.service = service;
    if (isNew)
        askOwners(stream, it->second, now);
}

void StreamDirectory::askOwners(uint64_t stream, Query& query, TimePoint now)
{
    const auto owners = ownersOf(stream);
    query.askedAt = now;
    query.unanswered = owners.size();
    for (const auto& it : owners)
        m_send(it, { .kind = StreamMessage::Kind::Query, .stream = stream, .service = query.service });
}

bool StreamDirectory::askOthers(uint64_t stream, Query& query, TimePoint now)
{
    if (std::exchange(query.hasAskedAll, true))
        return false;
    const auto owners = ownersOf(stream);
    query.askedAt = now;
    query.unanswered = 0;
    for (const auto& it : m_others) {
        if (std::ranges::find(owners, it) != owners.end())
            continue;
        ++query.unanswered;
        m_send(it, { .kind = StreamMessage::Kind::Query, .stream = stream, .service = query.service });
    }
    return query.unanswered > 0;
}

void StreamDirectory::finish(uint64_t stream, std::optional<StreamOrigin> origin)
{
    const auto it = m_queries.find(stream);
    if (it == m_queries.end())
        return;
    const auto finders = std::move(it->second.done);
    m_queries.erase(it);
    for (const auto& done : finders)
        done(origin);
}

void StreamDirectory::apply(const StreamMessage& message, TimePoint now)
{
    assert(message.kind != StreamMessage::Kind::Query && "the daemon answers queries");
    if (message.origin) {
        insert(message.stream, *message.origin, now);
        finish(message.stream, message.origin);
        return;
    }
    const auto it = m_queries.find(message.stream);
    if (it == m_queries.end())
        return;
    auto& query = it->second;
    if (query.unanswered > 0)
        --query.unanswered;
    if (query.unanswered == 0 && !askOthers(message.stream, query, now))
        finish(message.stream, std::nullopt);
}

void StreamDirectory::poll(TimePoint now)
{
    if (!m_originsBefore.empty() && now - m_generationAt > generationLifetime)
        m_originsBefore.clear();
    std::vector<uint64_t> failed;
    for (auto& [stream, query] : m_queries) {
        if (now - query.askedAt >= answerTimeout && !askOthers(stream, query, now))
            failed.push_back(stream);
    }
    for (const auto it : failed)
        finish(it, std::nullopt);
}

} // namespace lentilbay::edge
