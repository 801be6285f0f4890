// Looks up the origin of a stream in this daemon, the list of endpoints, the other daemons and the store.
#include "lentilbay/Edge/StreamOriginLookup.h"

#include "lentilbay/Support/Hash.h"
#include "lentilbay/Support/SteadyClock.h"

#include <algorithm>

namespace lentilbay::edge {
namespace {

/// How long a late answer of the store is waited for, if there seems to be one software version only or no
/// endpoint of the stream's version is left: less than the time after which a refused caller returns.
constexpr Duration lateListTimeout = std::chrono::milliseconds(500);
/// A list that is more recent is not read again for a stream of a version without endpoints: while a version
/// leaves, each daemon makes at most five such calls to the store per second.
constexpr Duration maxListAgeToResume = std::chrono::milliseconds(200);

} // namespace

StreamOriginLookup::StreamOriginLookup(EdgeState& state, Query query, Done done)
    : m_state(state)
    , m_query(std::move(query))
    , m_done(std::move(done))
{
}

void StreamOriginLookup::start(TimePoint now)
{
    if (m_query.stream) {
        if (const auto origin = m_state.streams.known(*m_query.stream)) {
            found(origin, "own", now);
            return;
        }
    }
    if (!mayHaveSoleVersion(now)) {
        find(false, now);
        return;
    }
    // Another daemon may have begun the stream at an endpoint of a version that this daemon has not read yet.
    awaitList(m_query.arrivedAt, EdgeState::endpointReadTimeout, now,
        [this](bool isCurrent) { find(isCurrent, bootNow()); });
}

void StreamOriginLookup::awaitList(
    TimePoint since, Duration timeout, TimePoint now, std::function<void(bool isCurrent)> next)
{
    m_state.awaitEndpoints(
        since,
        [weak = weak_from_this(), next = std::move(next)](bool isCurrent) {
            if (const auto self = weak.lock())
                next(isCurrent);
        },
        now, timeout);
}

bool StreamOriginLookup::mayHaveSoleVersion(TimePoint now) const
{
    return std::ranges::all_of(
        m_query.services, [&](const auto& it) { return m_state.versions.soleVersion(it, now).has_value(); });
}

std::optional<StreamOrigin> StreamOriginLookup::soleOrigin(bool isListCurrent, TimePoint now) const
{
    const bool hasSoleVersion = isListCurrent && std::ranges::all_of(m_query.services, [&](const auto& it) {
        return m_state.soleVersion(it, now).has_value();
    });
    if (!hasSoleVersion)
        return std::nullopt;
    return StreamOrigin { .service = hashOf(m_query.service.text()),
        .version = *m_state.soleVersion(m_query.service, now) };
}

void StreamOriginLookup::find(bool isListCurrent, TimePoint now)
{
    if (const auto origin = soleOrigin(isListCurrent, now)) {
        found(origin, "sole", now);
        return;
    }
    if (!m_query.stream) {
        found(std::nullopt, {}, now);
        return;
    }
    m_state.streams.find(
        *m_query.stream, hashOf(m_query.service.text()),
        [weak = weak_from_this(), isListCurrent](const auto& origin) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (origin) {
                self->answered(origin, "peer", isListCurrent);
                return;
            }
            self->m_state.streamOrigins.find(
                *self->m_query.stream,
                [weak, isListCurrent](const auto& stored) {
                    if (const auto self = weak.lock())
                        self->answered(stored, "store", isListCurrent);
                },
                bootNow());
        },
        now);
}

void StreamOriginLookup::answered(
    const std::optional<StreamOrigin>& origin, std::string_view source, bool isListCurrent)
{
    const auto now = bootNow();
    if (origin || isListCurrent || !mayHaveSoleVersion(now)) {
        found(origin, source, now);
        return;
    }
    awaitList(m_query.arrivedAt, lateListTimeout, now,
        [this](bool isCurrent) { found(soleOrigin(isCurrent, bootNow()), "sole", bootNow()); });
}

bool StreamOriginLookup::hasEndpoint(const StreamOrigin& origin) const
{
    return std::ranges::any_of(m_query.services, [&](const auto& it) {
        return hashOf(it.text()) == origin.service
            && m_state.endpointRegistry.hasCandidate(it, {}, { .required = origin.version });
    });
}

void StreamOriginLookup::found(
    const std::optional<StreamOrigin>& origin, std::string_view source, TimePoint now)
{
    const auto self = shared_from_this();
    if (!origin || hasEndpoint(*origin)) {
        m_done(origin, source);
        return;
    }
    awaitList(now - maxListAgeToResume, lateListTimeout, now,
        [this, origin, source](bool) { m_done(origin, source); });
}

} // namespace lentilbay::edge
