// Who starts, who waits, who is turned away.
#include "lentilbay/Edge/WaitingLine.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace lentilbay::edge {
namespace {

/// A request that could not even begin in this time before its end is given up.
constexpr Duration leastUseful = std::chrono::milliseconds(50);
/// First events come later than expected about so much of the time; a request this close to its objective
/// gives way to those that can still meet theirs.
constexpr Duration lateMargin = std::chrono::milliseconds(100);
/// For this part of its objective a request waits for an endpoint that serves it in time: on a busy service
/// a slot comes free every few milliseconds, and the rest of the objective is for the prompt.
constexpr double patientPart = 0.2;
/// The weight of the newest prompt in the mean: some hundred requests are a second or more of a daemon.
constexpr double promptWeight = 0.01;

} // namespace

void WaitingLine::push(WaitingRequest request)
{
    m_prompts.try_emplace(request.query.service, 0, promptWeight)
        .first->second.observe(request.query.work.promptTokens);
    m_requests.push_back(std::move(request));
}

double WaitingLine::meanPrompt(const ServiceId& service) const
{
    const auto it = m_prompts.find(service);
    return it == m_prompts.end() ? 0 : it->second.mean();
}

void WaitingLine::remove(uint64_t number)
{
    std::erase_if(m_requests, [&](const auto& it) { return it.number == number; });
}

size_t WaitingLine::sizeOf(const ServiceId& service) const
{
    return std::ranges::count_if(m_requests, [&](const auto& it) { return it.query.service == service; });
}

WaitingLine::Decisions WaitingLine::step(TimePoint now)
{
    Decisions out;
    if (m_requests.empty())
        return out;
    std::map<ServiceId, ServicePace> paces;
    for (auto& it : m_requests) {
        auto [pace, isNew] = paces.try_emplace(it.query.service);
        if (isNew)
            pace->second = m_book.paceOf(it.query.service, now);
        it.query.isPatient
            = now - it.arrivedAt < fromSeconds(toSeconds(it.query.objectiveAt - it.arrivedAt) * patientPart);
        it.query.yieldsFast = it.query.work.isStream && pace->second.isContended
            && it.query.work.promptTokens < meanPrompt(it.query.service);
        it.isLate = now + pace->second.first(it.query.work) + lateMargin > it.query.objectiveAt;
    }
    m_requests.sort([&](const auto& a, const auto& b) {
        const auto key = [](const WaitingRequest& it) {
            return std::make_tuple(!it.hasBegun, it.rank, it.isLate, it.query.objectiveAt, it.number);
        };
        return key(a) < key(b);
    });
    for (auto it = m_requests.begin(); it != m_requests.end();) {
        if (now + leastUseful >= it->giveUpAt) {
            out.turnedAway.push_back({ .number = it->number, .comeBackIn = Duration::zero() });
            it = m_requests.erase(it);
            continue;
        }
        if (auto endpoint = m_book.choose(it->query, now)) {
            endpoint->sent(it->query.work, now);
            out.started.push_back({ .number = it->number, .endpoint = std::move(endpoint) });
            it = m_requests.erase(it);
            continue;
        }
        ++it;
    }
    for (const auto& [service, pace] : paces)
        shed(service, pace, now, out);
    return out;
}

void WaitingLine::shed(const ServiceId& service, const ServicePace& pace, TimePoint now, Decisions& out)
{
    const double slots = std::max(1.0, m_book.occupancy(service, now).slots * m_options.ownPart);
    double ahead = 0;
    for (auto it = m_requests.begin(); it != m_requests.end();) {
        if (it->query.service != service) {
            ++it;
            continue;
        }
        const double own = toSeconds(pace.whole(it->query.work)) / slots;
        const auto start = now + fromSeconds(ahead);
        if (!it->hasBegun && (ahead > m_options.maxSeconds || start + leastUseful >= it->giveUpAt)) {
            out.turnedAway.push_back({ .number = it->number,
                .comeBackIn = std::min(m_options.longestReturn, fromSeconds(std::max(0.2, ahead))) });
            it = m_requests.erase(it);
            continue;
        }
        ahead += own;
        ++it;
    }
}

} // namespace lentilbay::edge
