// Rollouts: orders, permits, and the daemons' messages.
#include "lentilbay/Edge/RolloutController.h"

#include "EdgeTimes.h"
#include "lentilbay/Support/Hash.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/platform/Documents.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <functional>

namespace lentilbay::edge {
namespace {

constexpr Duration reportPeriod = std::chrono::milliseconds(250);
/// The same in a fleet of more than `largeFleetSize` daemons, whose reports one daemon receives.
constexpr Duration reportPeriodInLargeFleet = std::chrono::milliseconds(500);
constexpr size_t largeFleetSize = 100;
/// The same for an order that nobody coordinates, for instance an invalid one.
constexpr Duration unansweredReportPeriod = std::chrono::seconds(2);
constexpr Duration unansweredTime = std::chrono::seconds(10);
/// A daemon that has just started reads the state of an order soon, as the order may have ended long ago.
constexpr Duration startTime = std::chrono::seconds(5);
constexpr Duration firstReadDelay = std::chrono::milliseconds(600);
constexpr Duration minReadDelay = std::chrono::seconds(2);
constexpr Duration maxReadDelay = std::chrono::seconds(60);
/// Spreads the reads of many daemons that have lost their coordinator.
constexpr int64_t readSpreadMilliseconds = 1000;
/// Engines may be listed a little later than the order for them.
constexpr Duration validityDelay = std::chrono::seconds(3);
/// Within this time all daemons see an order, if the store answers.
constexpr Duration maxOrderDelay = std::chrono::milliseconds(2500);
/// The coordinator and the daemon that would be the next one tell each other this often what they know of
/// daemons that have ended.
constexpr Duration forwardPeriod = std::chrono::seconds(1);
/// Reports of an order that this daemon does not know cause reads of the orders at most this often: each of
/// the other daemons sends four of them a second.
constexpr Duration orderReadSpacing = std::chrono::seconds(1);
/// poll() is called more often than this while an order is running, unless the event loop stands still.
constexpr Duration maxPollGap = std::chrono::milliseconds(300);
/// A version is used this long after it was listed although the orders cannot be read.
constexpr Duration maxConfirmation = std::chrono::seconds(3);
/// A failure with less evidence against the endpoint is attributed to the request.
constexpr double minEvidence = 0.5;
/// A call that was not answered shows for this time that the store does not answer.
constexpr Duration storeAwayTime = std::chrono::seconds(3);
/// The same for another daemon: longer, since whoever takes an order over has to hear all daemons first.
constexpr Duration otherStoreAwayTime = std::chrono::seconds(15);
/// The daemons that may coordinate an order in turn, if the store does not answer the first ones.
constexpr size_t maxCandidates = 3;
constexpr size_t maxPastOrders = 4;
constexpr size_t maxRetiredVersions = 32;
constexpr int httpOk = 200;
/// The part of the time to the first event that does not depend on the prompt, and the prompt tokens that are
/// processed in the time of one answer token; as in EndpointRegistry.
constexpr double startupAnswerTokens = 10;
constexpr double promptTokensPerAnswerToken = 370;

void addTo(std::vector<uint64_t>& versions, uint64_t version)
{
    if (std::ranges::find(versions, version) == versions.end())
        versions.push_back(version);
}

bool isFinal(RolloutPhase phase)
{
    return phase == RolloutPhase::Complete || phase == RolloutPhase::Reverted;
}

const char* nameOf(RolloutPhase phase)
{
    constexpr std::array<const char*, 4> names { "canary", "switching", "complete", "reverted" };
    return names.at(static_cast<size_t>(phase));
}

/// The work of a response whose endpoint has nothing of the prompt in its cache. Responses are judged by it.
double workToFirstEvent(const Work& work)
{
    return work.isStream ? startupAnswerTokens + work.promptTokens / promptTokensPerAnswerToken : 1;
}

/// The work without the part of the prompt that is expected in the cache. The usual times are learned from
/// it: a new version begins with empty caches, and must not seem slow because of that.
double workDoneToFirstEvent(const Work& work)
{
    return work.isStream ? startupAnswerTokens + work.tokensToProcess() / promptTokensPerAnswerToken : 1;
}

/// The times of whole streams are kept beside those of the first events.
uint64_t wholeStreamsOf(uint64_t route) { return route ^ 1U; }

} // namespace

RolloutController::Entry::Entry(const RolloutOrder& order, RolloutGate given, TimePoint now)
    : gate(std::move(given))
    , target(hashOf(order.version))
    , seenAt(now)
{
    gate.setOrder(order);
}

bool RolloutController::Entry::hasEnded(TimePoint now) const { return isFinal(gate.phase(now)); }

RolloutController::RolloutController(Options options, EndpointRegistry& registry)
    : m_options(std::move(options))
    , m_registry(registry)
    , m_reportPeriod(reportPeriod)
{
}

RolloutController::Entry* RolloutController::find(const ServiceId& service)
{
    const auto it = m_entries.find(service);
    return it == m_entries.end() ? nullptr : &it->second;
}

const RolloutController::Entry* RolloutController::find(const ServiceId& service) const
{
    const auto it = m_entries.find(service);
    return it == m_entries.end() ? nullptr : &it->second;
}

RolloutController::Entry* RolloutController::findByHash(uint64_t service)
{
    const auto it = std::ranges::find_if(
        m_entries, [&](const auto& entry) { return hashOf(entry.first.text()) == service; });
    return it == m_entries.end() ? nullptr : &it->second;
}

VersionGroup RolloutController::groupOf(const Entry& entry, uint64_t version)
{
    return version == entry.target ? VersionGroup::Target : VersionGroup::Former;
}

void RolloutController::logInvalid(const std::string& key, const std::string& detail)
{
    ++m_invalidOrders;
    logEvent(Event::RolloutOrderInvalid, { { "order", key }, { "detail", detail } });
}

void RolloutController::applyOrderRow(const platform::StoreRow& row, TimePoint now)
{
    if (!platform::isRolloutKey(row.key))
        return;
    const auto decoded = outcomeOf<platform::RolloutDocument>(
        [&] { return platform::decodeRolloutOrder(row.key, row.value); });
    if (const auto* failure = std::get_if<Failure>(&decoded)) {
        logInvalid(row.key, failure->detail);
        return;
    }
    const auto& document = std::get<platform::RolloutDocument>(decoded);
    const RolloutOrder order { .id = { .era = row.version.era, .number = row.version.number },
        .service = document.service,
        .version = document.version,
        .duration = document.duration };
    auto* known = find(order.service);
    // A daemon keeps to the first version of the row that it has read, by which it counts.
    if (known && !known->isWithdrawn && continuesOrder(known->order(), order))
        return;
    logEvent(Event::RolloutOrdered,
        { { "service", order.service.text() }, { "to", order.version },
            { "duration_ms", millisecondsOf(order.duration) },
            { "row_version", static_cast<int64_t>(order.id.number) } });
    if (known) {
        replaceOrder(*known, order, now);
    } else {
        const auto at = m_entries.try_emplace(
            order.service, order, RolloutGate(m_options.daemon, m_options.incarnation), now);
        known = &at.first->second;
    }
    // The order was accepted between two reads of the table. The deadline must be kept, so it counts from the
    // first of them, unless the table could not be read for long.
    if (m_ordersConfirmedAt != TimePoint {} && now - m_ordersConfirmedAt <= maxOrderDelay)
        known->absentAt = m_ordersConfirmedAt;
    const bool hasJustStarted = m_startedAt == TimePoint {} || now - m_startedAt < startTime;
    known->readDelay = minReadDelay;
    known->nextReadAt = now + (hasJustStarted ? firstReadDelay : minReadDelay);
    updateVersions(*known, now);
}

void RolloutController::replaceOrder(Entry& entry, const RolloutOrder& order, TimePoint now)
{
    const auto former = entry.order();
    const auto phase = entry.gate.phase(now);
    auto retired = entry.retired;
    if (phase == RolloutPhase::Complete) {
        for (const auto it : entry.formers)
            addTo(retired, it);
    } else {
        // Nobody has found that version to be good.
        addTo(retired, entry.target);
    }
    auto past = entry.past;
    if (isFinal(phase))
        past.emplace_back(former, phase);
    if (past.size() > maxPastOrders)
        past.pop_front();
    entry = Entry(order, RolloutGate(m_options.daemon, m_options.incarnation), now);
    std::erase(retired, entry.target);
    if (retired.size() > maxRetiredVersions)
        retired.erase(retired.begin());
    entry.retired = std::move(retired);
    for (const auto& [earlier, end] : past) {
        if (earlier.id.era != order.id.era && continuesOrder(earlier, order))
            entry.gate.applyStatus(order.id, end);
    }
    entry.past = std::move(past);
}

void RolloutController::orderRowDeleted(const std::string& key, TimePoint now)
{
    const auto it = std::ranges::find_if(
        m_entries, [&](const auto& entry) { return platform::rolloutKey(entry.first) == key; });
    if (it == m_entries.end())
        return;
    auto& entry = it->second;
    logEvent(Event::RolloutWithdrawn,
        { { "service", it->first.text() }, { "to", entry.order().version },
            { "phase", nameOf(entry.gate.phase(now)) } });
    if (entry.gate.phase(now) == RolloutPhase::Complete) {
        m_entries.erase(it);
        return;
    }
    // Nobody has found the target version to be good.
    entry.isWithdrawn = true;
    entry.gate.applyStatus(entry.order().id, RolloutPhase::Reverted);
    if (entry.coordinator)
        entry.coordinator->withdraw();
}

void RolloutController::storeEraChanged()
{
    for (auto& [service, entry] : m_entries) {
        entry.isSettled = false;
        if (entry.coordinator)
            entry.coordinator->readAgain();
    }
}

void RolloutController::setDaemons(std::vector<std::string> others, bool takesPart, size_t fleetSize)
{
    m_others = std::move(others);
    m_takesPart = takesPart;
    std::erase_if(m_storeAwayAt,
        [&](const auto& it) { return std::ranges::find(m_others, it.first) == m_others.end(); });
    m_isLargeFleet = fleetSize > smallFleetSize;
    m_reportPeriod = fleetSize > largeFleetSize ? reportPeriodInLargeFleet : reportPeriod;
}

bool RolloutController::isStoreAway(TimePoint now) const
{
    return (m_callFailedAt && now - *m_callFailedAt < storeAwayTime)
        || (m_isStoreUnreachable && m_isStoreUnreachable());
}

bool RolloutController::isFirst(const ServiceId& service) const
{
    const auto key = platform::rolloutKey(service);
    const auto own = rendezvousWeight(key, m_options.daemon);
    return m_takesPart
        && std::ranges::all_of(m_others, [&](const auto& it) { return rendezvousWeight(key, it) < own; });
}

std::string RolloutController::coordinatorOf(const ServiceId& service, TimePoint now) const
{
    const auto key = platform::rolloutKey(service);
    std::vector<std::pair<uint64_t, std::string_view>> order;
    for (const auto& it : m_others)
        order.emplace_back(rendezvousWeight(key, it), it);
    if (m_takesPart)
        order.emplace_back(rendezvousWeight(key, m_options.daemon), m_options.daemon);
    std::ranges::sort(order, std::greater());
    if (order.empty())
        return {};
    // If the store answers nobody, the first of them goes on.
    for (size_t i = 0; i < std::min(order.size(), maxCandidates); ++i) {
        std::string name(order[i].second);
        const auto away = m_storeAwayAt.find(name);
        const bool isAway = name == m_options.daemon
            ? isStoreAway(now)
            : away != m_storeAwayAt.end() && now - away->second < otherStoreAwayTime;
        if (!isAway)
            return name;
    }
    return std::string(order.front().second);
}

std::string RolloutController::standbyOf(const ServiceId& service, const std::string& coordinator) const
{
    if (m_isLargeFleet)
        return {};
    const auto key = platform::rolloutKey(service);
    std::string out;
    uint64_t most = 0;
    const auto consider = [&](const std::string& daemon) {
        const auto weight = rendezvousWeight(key, daemon);
        if (daemon == coordinator || (!out.empty() && weight <= most))
            return;
        out = daemon;
        most = weight;
    };
    for (const auto& it : m_others)
        consider(it);
    if (m_takesPart)
        consider(m_options.daemon);
    return out;
}

bool RolloutController::isActive() const
{
    return std::ranges::any_of(m_entries, [&](const auto& it) {
        const auto& entry = it.second;
        return entry.coordinator || !entry.hasEnded(m_polledAt);
    });
}

bool RolloutController::poll(TimePoint now)
{
    if (m_startedAt == TimePoint {})
        m_startedAt = now;
    if (m_polledAt != TimePoint {} && now - m_polledAt > maxPollGap)
        m_stalledUntil = now;
    m_polledAt = now;
    std::map<ServiceId, VersionRule> usual;
    std::map<ServiceId, RolloutPhase> phases;
    for (auto& [service, entry] : m_entries) {
        updateVersions(entry, now);
        const auto coordinator = coordinatorOf(service, now);
        // The first daemon goes on beside the one that stands in for it, which may reach the store no better.
        if (coordinator != m_options.daemon && !isFirst(service)) {
            entry.coordinator.reset();
            entry.isSettled = false;
        } else if (!entry.isSettled) {
            coordinate(entry, now);
        }
        if (!entry.hasEnded(now) && !coordinator.empty() && now >= entry.nextReportAt)
            report(entry, coordinator, now);
        if (!entry.hasEnded(now) && !entry.coordinator && now >= entry.nextReadAt)
            readState(entry, now);
        logPhase(entry, now);
        usual[service] = usualVersions(entry, now);
        phases[service] = entry.gate.phase(now);
    }
    m_registry.setUsualVersions(std::move(usual));
    return std::exchange(m_phases, phases) != phases;
}

void RolloutController::updateVersions(Entry& entry, TimePoint now)
{
    // Versions that are started after the end have nothing to do with the order.
    if (entry.hasEnded(now))
        return;
    for (const auto& it : m_registry.endpointsOf(entry.order().service)) {
        const auto version = it->versionHash();
        if (version != entry.target && std::ranges::find(entry.retired, version) == entry.retired.end())
            addTo(entry.formers, version);
    }
}

std::vector<uint64_t> RolloutController::targetEndpoints(const Entry& entry) const
{
    std::vector<uint64_t> out;
    for (const auto& it : m_registry.endpointsOf(entry.order().service)) {
        if (it->versionHash() == entry.target && !m_registry.isLeaving(*it))
            out.push_back(it->hash());
    }
    return out;
}

std::vector<uint64_t> RolloutController::excludedTargets(const Entry& entry, TimePoint now) const
{
    std::vector<uint64_t> out;
    for (const auto& it : m_registry.endpointsOf(entry.order().service)) {
        const bool isExcluded = it->isSuspended(now) || m_registry.useOf(*it, now) == EndpointUse::Excluded;
        if (isExcluded && it->versionHash() == entry.target)
            out.push_back(it->hash());
    }
    return out;
}

uint32_t RolloutController::formerInFlight(const Entry& entry) const
{
    uint32_t out = 0;
    for (const auto& it : m_registry.endpointsOf(entry.order().service))
        out += it->versionHash() == entry.target ? 0 : it->ownInFlight();
    return out;
}

VersionRule RolloutController::formerRule(const Entry& entry) const
{
    VersionRule out { .excluded = entry.retired };
    out.excluded.push_back(entry.target);
    return out;
}

VersionRule RolloutController::usualVersions(const Entry& entry, TimePoint now) const
{
    switch (entry.gate.phase(now)) {
    case RolloutPhase::Switching:
        return { .required = entry.target };
    case RolloutPhase::Complete: {
        VersionRule out { .excluded = entry.retired };
        out.excluded.insert(out.excluded.end(), entry.formers.begin(), entry.formers.end());
        return out;
    }
    case RolloutPhase::Canary:
        // There is nothing else that could serve the service: the order ended before this daemon started, or
        // is one for the version in use.
        if (entry.formers.empty())
            return { .excluded = entry.retired };
        break;
    case RolloutPhase::Reverted:
        break;
    }
    return formerRule(entry);
}

bool RolloutController::isValid(Entry& entry, TimePoint now)
{
    const auto& order = entry.order();
    const bool isKnown = !m_isKnownService || m_isKnownService(order.service);
    const bool out = isKnown && !targetEndpoints(entry).empty();
    if (!out && now - entry.seenAt >= validityDelay && !std::exchange(entry.isInvalidLogged, true))
        logInvalid(platform::rolloutKey(order.service),
            isKnown ? "no endpoint has the version" : "the service is not configured");
    return out;
}

void RolloutController::coordinate(Entry& entry, TimePoint now)
{
    if (!entry.coordinator) {
        // An end that is known is the first thing that the coordinator is told.
        entry.nextReportAt = std::min(entry.nextReportAt, now);
        entry.coordinator = std::make_shared<RolloutCoordinator>(entry.order(),
            RolloutCoordinator::Options {
                .storeHost = m_options.storeHost, .limits = m_options.limits, .reports = entry.reports },
            entry.absentAt.value_or(entry.seenAt));
    }
    auto& coordinator = *entry.coordinator;
    const auto permit = coordinator.permit(now);
    if (entry.isWithdrawn)
        coordinator.withdraw();
    if (entry.absentAt)
        coordinator.setBegun(*entry.absentAt, now);
    // The engines of a version that was rejected have left when the store comes back from an older copy.
    coordinator.setValid(permit || entry.hasEnded(now) || isValid(entry, now));
    coordinator.setTargetEndpoints(targetEndpoints(entry).size());
    // Before the store has been read, versions may be listed that came after the end of the order.
    if (permit && !isFinal(permit->phase))
        coordinator.addFormerVersions(entry.formers);
    if (const auto phase = coordinator.committed()) {
        applyPermit(
            entry, { .order = entry.order().id, .phase = *phase }, coordinator.formerVersions(), now, now);
        entry.isSettled = true;
        entry.coordinator.reset();
        return;
    }
    // An end that this daemon knows must be in the store.
    if (entry.hasEnded(now) && now >= entry.nextReportAt)
        report(entry, m_options.daemon, now);
    coordinator.update(now);
    if (m_isCalling || !m_call)
        return;
    if (auto request = coordinator.nextCall(now)) {
        call(std::move(*request),
            [this, weak = std::weak_ptr(entry.coordinator), now](const StoreReply& reply) {
                if (const auto it = weak.lock())
                    it->handleReply(reply, now, m_options.clock());
            });
    }
}

void RolloutController::call(std::string request, std::function<void(const StoreReply&)> done)
{
    m_isCalling = true;
    m_call(std::move(request), [this, done = std::move(done)](const StoreReply& reply) {
        m_isCalling = false;
        const bool isAnswered = reply.status == httpOk || reply.status == platform::statusVersionMismatch;
        m_callFailedAt = isAnswered ? std::nullopt : std::optional(m_options.clock());
        done(reply);
    });
}

void RolloutController::report(Entry& entry, const std::string& coordinator, TimePoint now)
{
    const auto unansweredSince = entry.permittedAt.value_or(entry.seenAt);
    entry.nextReportAt
        = now + (now - unansweredSince > unansweredTime ? unansweredReportPeriod : m_reportPeriod);
    auto report = entry.gate.report(now);
    // Those that were sent before the order was seen count as well.
    report.formerInFlight = formerInFlight(entry);
    ++m_reports;
    if (entry.coordinator) {
        // Where another daemon stands in for this one, both judge what this daemon has observed.
        entry.coordinator->apply(report, now);
        const auto permit = entry.coordinator->permit(now);
        if (permit && (coordinator == m_options.daemon || isFinal(permit->phase)))
            applyPermit(entry, *permit, entry.coordinator->formerVersions(), now, now);
    }
    const auto standby = standbyOf(entry.order().service, coordinator);
    for (const auto& to : { coordinator, standby })
        sendReport(entry, to, report, now);
    if (now < entry.nextForwardAt)
        return;
    entry.nextForwardAt = now + forwardPeriod;
    for (auto& it : entry.reports->ofSilent(now))
        sendReport(entry, coordinator == m_options.daemon ? standby : coordinator, std::move(it), now);
}

void RolloutController::sendReport(
    const Entry& entry, const std::string& to, RolloutReport report, TimePoint now)
{
    if (!m_send || to.empty() || to == m_options.daemon)
        return;
    m_send(to,
        encodeRolloutMessage(RolloutReportMessage { .service = hashOf(entry.order().service.text()),
            .sentMicroseconds = now.time_since_epoch().count(),
            .orderAgeMicroseconds = entry.absentAt ? (now - *entry.absentAt).count() : -1,
            .orderContent = orderContentOf(entry.order()),
            .report = std::move(report) }));
}

std::string RolloutController::receive(std::string_view datagram, TimePoint now)
{
    const auto decoded = outcomeOf<RolloutMessage>([&] { return decodeRolloutMessage(datagram); });
    const auto* message = std::get_if<RolloutMessage>(&decoded);
    if (!message)
        return {};
    if (const auto* report = std::get_if<RolloutReportMessage>(message))
        return receiveReport(*report, now);
    receivePermit(std::get<RolloutPermitMessage>(*message), now);
    return {};
}

std::string RolloutController::receiveReport(RolloutReportMessage message, TimePoint now)
{
    auto* entry = findByHash(message.service);
    const auto senderOrder = message.report.order;
    const bool isSame = entry
        && (senderOrder == entry->order().id
            || (senderOrder.era != entry->order().id.era
                && message.orderContent == orderContentOf(entry->order())));
    if (!isSame) {
        const bool isUnknown = !entry || senderOrder > entry->order().id;
        if (isUnknown && m_readOrders && (!m_ordersReadAt || now - *m_ordersReadAt >= orderReadSpacing)) {
            m_ordersReadAt = now;
            m_readOrders();
        }
        return {};
    }
    message.report.order = entry->order().id;
    entry->reports->add(message.report, now);
    if (message.orderAgeMicroseconds >= 0) {
        const auto absentAt = now - Duration(message.orderAgeMicroseconds);
        entry->absentAt = std::max(absentAt, entry->absentAt.value_or(absentAt));
    }
    RolloutPermitMessage out { .service = message.service,
        .incarnation = message.report.incarnation,
        .sentMicroseconds = message.sentMicroseconds,
        .daemon = m_options.daemon,
        .isStoreAway = isStoreAway(now) };
    std::optional<RolloutPermit> permit;
    if (entry->coordinator) {
        entry->coordinator->apply(message.report, now);
        permit = entry->coordinator->permit(now);
        out.formerVersions = entry->coordinator->formerVersions();
    } else if (entry->hasEnded(now)) {
        permit = RolloutPermit { .phase = entry->gate.phase(now) };
        out.formerVersions = entry->formers;
    }
    out.hasPermit = permit.has_value();
    if (!out.hasPermit && !out.isStoreAway)
        return {};
    out.permit = permit.value_or(RolloutPermit());
    out.permit.order = senderOrder;
    return encodeRolloutMessage(out);
}

void RolloutController::receivePermit(const RolloutPermitMessage& message, TimePoint now)
{
    if (message.isStoreAway)
        m_storeAwayAt[message.daemon] = now;
    auto* entry = findByHash(message.service);
    // A report was sent by this daemon's clock, so that another time is that of a damaged datagram.
    const bool isPossible
        = message.sentMicroseconds >= 0 && message.sentMicroseconds <= now.time_since_epoch().count();
    if (!entry || !message.hasPermit || !isPossible || message.incarnation != m_options.incarnation)
        return;
    // The daemon that would coordinate the order next may coordinate it already, by what few daemons know.
    const auto& service = entry->order().service;
    if (!isFinal(message.permit.phase) && !message.daemon.empty()
        && message.daemon == standbyOf(service, coordinatorOf(service, now)))
        return;
    applyPermit(
        *entry, message.permit, message.formerVersions, TimePoint(Duration(message.sentMicroseconds)), now);
}

void RolloutController::applyPermit(Entry& entry, const RolloutPermit& permit,
    const std::vector<uint64_t>& formers, TimePoint sentAt, TimePoint now)
{
    if (permit.order != entry.order().id || sentAt > now)
        return;
    const bool hadEnded = entry.hasEnded(now);
    entry.gate.applyPermit(permit, sentAt, now);
    entry.permittedAt = std::max(sentAt, entry.permittedAt.value_or(sentAt));
    entry.readDelay = minReadDelay;
    const auto spread
        = std::chrono::milliseconds(hashOf(m_options.daemon) % static_cast<uint64_t>(readSpreadMilliseconds));
    entry.nextReadAt = sentAt + rolloutPermitLife + spread;
    // What this daemon has listed may have come after the end.
    if (!hadEnded && entry.hasEnded(now) && !formers.empty())
        entry.formers = formers;
    logPhase(entry, now);
}

void RolloutController::readState(Entry& entry, TimePoint now)
{
    if (m_isCalling || !m_call)
        return;
    entry.nextReadAt = now + entry.readDelay;
    entry.readDelay = std::min(2 * entry.readDelay, maxReadDelay);
    const auto service = entry.order().service;
    call(readRolloutRowRequest(m_options.storeHost, service), [this, service](const StoreReply& reply) {
        auto* found = find(service);
        if (!found)
            return;
        const auto row = rolloutRowIn(reply, found->order());
        if (!row || !isFinal(row->state.phase))
            return;
        found->gate.applyStatus(found->order().id, row->state.phase);
        if (!row->formerVersions.empty())
            found->formers = row->formerVersions;
    });
}

void RolloutController::logPhase(Entry& entry, TimePoint now)
{
    const auto phase = entry.gate.phase(now);
    if (std::exchange(entry.loggedPhase, phase) == phase)
        return;
    logEvent(Event::RolloutPhaseChanged,
        { { "service", entry.order().service.text() }, { "to", entry.order().version },
            { "phase", nameOf(phase) }, { "has_permit", static_cast<int64_t>(entry.gate.hasPermit(now)) },
            { "since_order_ms", millisecondsOf(now - entry.seenAt) } });
}

void RolloutController::noticeVersions(TimePoint now)
{
    if (m_listedRevision == m_registry.revision())
        return;
    m_listedRevision = m_registry.revision();
    std::map<ServiceId, std::vector<uint64_t>> listed;
    for (const auto& [id, it] : m_registry.all())
        addTo(listed[it->entry().service], it->versionHash());
    std::erase_if(m_listed, [&](const auto& it) { return !listed.contains(it.first); });
    for (const auto& [service, listedVersions] : listed) {
        const auto& versions = listedVersions;
        const auto [it, isNew] = m_listed.try_emplace(service);
        auto& known = it->second;
        std::erase_if(known.unconfirmed,
            [&versions](uint64_t version) { return std::ranges::find(versions, version) == versions.end(); });
        for (const auto version : versions) {
            if (isNew || std::ranges::find(known.all, version) != known.all.end())
                continue;
            addTo(known.unconfirmed, version);
            known.seenAt = now;
        }
        known.all = versions;
    }
}

const std::vector<uint64_t>& RolloutController::unconfirmedVersions(const ServiceId& service, TimePoint now)
{
    static const std::vector<uint64_t> none;
    noticeVersions(now);
    const auto it = m_listed.find(service);
    if (it == m_listed.end())
        return none;
    auto& known = it->second;
    if (m_ordersConfirmedAt >= known.seenAt || now - known.seenAt >= maxConfirmation)
        known.unconfirmed.clear();
    return known.unconfirmed;
}

void RolloutController::assign(
    const ServiceId& service, std::optional<uint64_t> version, RolloutTicket& ticket, TimePoint now)
{
    auto* entry = find(service);
    if (version || !entry) {
        ticket.rule = { .required = version };
        if (version && !mayUse(service, *version, now))
            ticket.rule.excluded = { *version };
        if (version)
            return;
        // Engines may be listed before the order for them has been read.
        ticket.rule.excluded = unconfirmedVersions(service, now);
        if (!ticket.rule.excluded.empty() && !m_registry.hasCandidate(service, {}, ticket.rule))
            ticket.rule.excluded.clear();
        return;
    }
    ticket.rule = usualVersions(*entry, now);
    if (entry->hasEnded(now))
        return;
    const auto order = entry->order().id;
    ticket.group
        = ticket.order == order ? entry->gate.chooseAgain(ticket.group, now) : entry->gate.choose(now);
    ticket.order = order;
    if (entry->formers.empty())
        return;
    ticket.rule = formerRule(*entry);
    if (ticket.group == VersionGroup::Former)
        return;
    const auto usable = entry->gate.usableTargets(targetEndpoints(*entry), excludedTargets(*entry, now), now);
    if (usable.empty())
        return;
    VersionRule target { .required = entry->target };
    if (entry->gate.phase(now) == RolloutPhase::Canary) {
        target.endpoints = usable;
        target.otherwise = std::make_shared<const VersionRule>(std::move(ticket.rule));
    }
    ticket.rule = std::move(target);
}

bool RolloutController::mayUse(const ServiceId& service, uint64_t version, TimePoint now) const
{
    const auto* entry = find(service);
    if (!entry)
        return true;
    if (entry->hasEnded(now) || entry->formers.empty())
        return usualVersions(*entry, now).allows(version, 0);
    const auto group = groupOf(*entry, version);
    const bool isRetired = std::ranges::find(entry->retired, version) != entry->retired.end();
    return !isRetired && entry->gate.mayUse(group, now);
}

RolloutSend RolloutController::recordSend(const EndpointState& endpoint, const std::string& route,
    const Work& work, RolloutTicket& ticket, TimePoint now)
{
    const auto& service = endpoint.entry().service;
    RolloutSend out { .service = service,
        .route = hashOf(route, hashOf(service.text())) | 2U,
        .endpoint = endpoint.hash(),
        .version = endpoint.versionHash(),
        .work = work,
        .sentAt = now };
    auto* entry = find(service);
    if (!entry || entry->hasEnded(now))
        return out;
    const auto group = groupOf(*entry, out.version);
    if (group == VersionGroup::Former && ticket.group == VersionGroup::Target
        && ticket.order == entry->order().id) {
        ticket.group = VersionGroup::Former;
        entry->gate.returnChoice();
    }
    entry->gate.recordSend(group, now);
    m_sentToTarget += group == VersionGroup::Target ? 1 : 0;
    return out;
}

bool RolloutController::wasStalledSince(TimePoint since, TimePoint now) const
{
    return m_stalledUntil >= since || now - m_polledAt > maxPollGap;
}

bool RolloutController::isSlow(const RolloutSend& send, Duration elapsed, TimePoint now) const
{
    return !wasStalledSince(send.sentAt, now)
        && m_times.isSlow(send.route, elapsed, workToFirstEvent(send.work));
}

void RolloutController::recordFirstEvent(RolloutSend& send, TimePoint now)
{
    if (send.route == 0)
        return;
    send.timeToFirstEvent = now - send.sentAt;
    const auto* entry = find(send.service);
    if (!entry || entry->hasEnded(now) || !isSlow(send, *send.timeToFirstEvent, now))
        return;
    // A late response is known to be one before it ends.
    count(send, false, true, now);
    send.isCounted = true;
}

void RolloutController::recordEnd(
    const RolloutSend& send, RolloutTicket& ticket, const End& end, TimePoint now)
{
    if (send.route == 0)
        return;
    const auto* entry = find(send.service);
    const bool isRunning = entry && !entry->hasEnded(now);
    const bool isTarget = isRunning && groupOf(*entry, send.version) == VersionGroup::Target;
    const auto elapsed = now - send.sentAt;
    const bool isWhole = end.outcome == SendOutcome::Succeeded;
    const bool isStream = send.work.isStream && end.answerTokens > 0;
    const double wholeWork = workToFirstEvent(send.work) + end.answerTokens;
    bool isLate = isWhole && isStream && !wasStalledSince(send.sentAt, now)
        && m_times.isSlow(wholeStreamsOf(send.route), elapsed, wholeWork);
    if (isWhole && !isTarget && !wasStalledSince(send.sentAt, now)) {
        if (send.timeToFirstEvent)
            m_times.observe(send.route, *send.timeToFirstEvent, workDoneToFirstEvent(send.work));
        if (isStream)
            m_times.observe(
                wholeStreamsOf(send.route), elapsed, workDoneToFirstEvent(send.work) + end.answerTokens);
    }
    if (!isRunning)
        return;
    // Without an event, nobody knows how much later it would have come.
    if (end.outcome == SendOutcome::Neutral)
        isLate = !send.timeToFirstEvent && isSlow(send, elapsed, now);
    // In the phase Switching, similar requests fail elsewhere at endpoints of the same version.
    const bool isBad = end.outcome == SendOutcome::Failed
        && (end.evidence >= minEvidence || entry->gate.phase(now) != RolloutPhase::Canary);
    if (end.outcome == SendOutcome::Failed && isTarget && ticket.order == entry->order().id)
        ticket.group = VersionGroup::Former;
    // A late response that then fails counts as both.
    if (isBad || (!send.isCounted && (isLate || isWhole)))
        count(send, isBad, isLate && !send.isCounted, now);
}

void RolloutController::count(const RolloutSend& send, bool isBad, bool isSlow, TimePoint now)
{
    auto* entry = find(send.service);
    const auto group = groupOf(*entry, send.version);
    entry->gate.recordResponse(send.route, send.endpoint, group, isBad, isSlow, now);
    if (group == VersionGroup::Former)
        return;
    m_badResponses += isBad ? 1 : 0;
    m_slowResponses += isSlow ? 1 : 0;
}

std::vector<std::pair<std::string, double>> RolloutController::gauges(TimePoint now) const
{
    std::vector<std::pair<std::string, double>> out { { "rollout_reports", static_cast<double>(m_reports) },
        { "rollout_requests_sent_to_target", static_cast<double>(m_sentToTarget) },
        { "rollout_bad_responses", static_cast<double>(m_badResponses) },
        { "rollout_slow_responses", static_cast<double>(m_slowResponses) },
        { "rollout_orders_invalid", static_cast<double>(m_invalidOrders) } };
    const auto add = [&](const char* name, auto valueOf) {
        for (const auto& [service, entry] : m_entries)
            out.emplace_back(fmt::format("{}{{service=\"{}\"}}", name, service.text()),
                static_cast<double>(valueOf(entry)));
    };
    add("rollout_phase", [&](const Entry& it) { return static_cast<int>(it.gate.phase(now)); });
    add("rollout_permit", [&](const Entry& it) { return it.gate.hasPermit(now); });
    add("rollout_coordinator", [](const Entry& it) { return it.coordinator != nullptr; });
    return out;
}

} // namespace lentilbay::edge
