// Main loop, shutdown and wiring of the daemon.
#include "Daemon.h"

#include "AdminRoutes.h"
#include "lentilbay/Platform/WakeTimer.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/Secret.h"
#include "lentilbay/Support/SteadyClock.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <vector>

namespace lentilbay {
namespace {

constexpr Duration maxSleep = std::chrono::seconds { 1 };
/// How often a draining daemon checks whether all responses are written.
constexpr Duration drainCheckInterval = std::chrono::milliseconds { 20 };
/// How long an idle draining daemon waits for the platform to remove it from the roster.
constexpr Duration rosterRemovalTimeout = std::chrono::seconds { 3 };

/// Returns a blackboard with the identity and location of this daemon.
Blackboard makeBlackboard(const DaemonSettings& settings)
{
    Blackboard blackboard;
    blackboard.self = DaemonId(settings.name);
    blackboard.region = RegionId(settings.region);
    blackboard.dataCentre = DataCentreId(settings.dataCentre);
    return blackboard;
}

/// Returns std::nullopt if the daemon runs without the platform.
std::optional<ConfigurationOptions> makeConfigurationOptions(
    const Settings& settings, const MembershipOptions& membership)
{
    if (settings.platform.table.empty())
        return std::nullopt;
    return ConfigurationOptions {
        .seed = randomNumber(), .address = membership.address, .incarnation = membership.incarnation
    };
}

} // namespace

struct Daemon::State {
    State(const Settings& settings, const MembershipOptions& membership)
        : settings(settings)
        , timer(context, [this] { wake(); })
        , signals(context, SIGTERM, SIGINT)
        , blackboard(makeBlackboard(settings.daemon))
        , admin(context, settings.admin)
        , client(context, settings.endpoints)
        , plane(blackboard,
              { .entry = { .seed = randomNumber(), .maxWaiting = settings.daemon.maxWaiting },
                  .membership = membership,
                  .configuration = makeConfigurationOptions(settings, membership) },
              steadyNow())
    {
    }

    void wake();
    void step();
    void schedule(TimePoint now);
    void drain();
    void listenForSignals();
    bool isFinished(TimePoint now) const;
    bool leaveRoster(TimePoint now);
    void stop();

    Settings settings;
    asio::io_context context { 1 };
    WakeTimer timer;
    asio::signal_set signals;
    Blackboard blackboard;
    AdminServer admin;
    HttpClient client;
    ControlPlane plane;
    Metrics metrics;
    std::function<void(std::vector<OutgoingMessage>)> peerSender;
    std::function<void(std::vector<StoreCommand>)> storeSubmitter;
    std::vector<std::unique_ptr<DaemonPart>> parts;
    std::vector<std::function<void(std::string&)>> metricAppenders;
    std::unique_ptr<Gateway> gateway;
    std::unique_ptr<CallerServer> callers;
    std::function<void(const RequestIdentity&)> claimHandler;
    std::vector<std::function<void(const RequestOutcome&)>> finishedHandlers;
    bool stepPosted = false;
    /// Earliest stop time, set when draining starts.
    std::optional<TimePoint> earliestStop;
    std::optional<TimePoint> rosterDeadline;
};

void Daemon::State::wake()
{
    if (std::exchange(stepPosted, true))
        return;
    asio::post(context, [this] { step(); });
}

void Daemon::State::step()
{
    stepPosted = false;
    const auto now = steadyNow();
    for (const auto& it : parts)
        it->step(now);
    plane.step(now);
    gateway->executeCommands();
    gateway->expire(now);
    if (auto messages = plane.takeMessages(); peerSender)
        peerSender(std::move(messages));
    if (auto commands = std::exchange(blackboard.storeOutbox, {}); storeSubmitter)
        storeSubmitter(std::move(commands));
    if (isFinished(now) && leaveRoster(now))
        return stop();
    schedule(now);
}

void Daemon::State::schedule(TimePoint now)
{
    auto wakeAt = now + (earliestStop ? drainCheckInterval : maxSleep);
    const auto consider
        = [&](const std::optional<TimePoint>& at) { wakeAt = std::min(wakeAt, at.value_or(wakeAt)); };
    for (const auto& it : parts)
        consider(it->nextWake());
    consider(plane.nextWake());
    timer.set(wakeAt, now);
}

void Daemon::State::drain()
{
    if (earliestStop)
        return;
    logEvent(Event::DrainStarted, { { "open", static_cast<int64_t>(plane.entry().openRequests()) } });
    blackboard.draining = true;
    const auto now = steadyNow();
    plane.membership().announceLeaving(now);
    earliestStop = now + settings.daemon.leavingNotice;
    callers->closeAfterResponses();
    wake();
}

void Daemon::State::listenForSignals()
{
    signals.async_wait([this](const asio::error_code& ec, int) {
        if (ec)
            return;
        drain();
        listenForSignals(); // a second signal must not terminate the process
    });
}

bool Daemon::State::isFinished(TimePoint now) const
{
    const auto isIdle = [](const auto& it) { return it->isIdle(); };
    return earliestStop && now >= *earliestStop && plane.entry().openRequests() == 0
        && gateway->openExchanges() == 0 && callers->unwrittenAnswers() == 0 && admin.unwrittenAnswers() == 0
        && std::all_of(parts.begin(), parts.end(), isIdle);
}

/// Removes the daemon from the roster, so that no configuration change waits for its acknowledgement. Returns
/// true once it is removed, or after rosterRemovalTimeout if the platform is unavailable.
bool Daemon::State::leaveRoster(TimePoint now)
{
    auto* configuration = plane.configuration();
    if (configuration == nullptr)
        return true;
    if (!rosterDeadline) {
        rosterDeadline = now + rosterRemovalTimeout;
        configuration->announceStopped(now);
        wake();
    }
    return configuration->isOffRoster() || now >= *rosterDeadline;
}

void Daemon::State::stop()
{
    logEvent(Event::DaemonStopped);
    plane.membership().announceStopped(steadyNow());
    if (peerSender)
        peerSender(plane.takeMessages());
    callers->close();
    admin.close();
    context.stop();
}

Daemon::Daemon(const Settings& settings, const MembershipOptions& membership)
    : m_state(std::make_unique<State>(settings, membership))
{
    auto& state = *m_state;
    state.claimHandler = [this](const RequestIdentity& request) {
        m_state->plane.entry().claimed(request.id, ClaimResult::Unavailable, steadyNow());
        wake();
    };
    GatewayHooks hooks { .wake = [this] { wake(); },
        .claim = [this](const RequestIdentity& request) { m_state->claimHandler(request); },
        .finished =
            [this](const RequestOutcome& outcome) {
                m_state->metrics.observe(outcome);
                for (const auto& it : m_state->finishedHandlers)
                    it(outcome);
            },
        .callAfter
        = [this](Duration delay, std::function<void()> function) { callAfter(delay, std::move(function)); } };
    state.gateway = std::make_unique<Gateway>(
        state.blackboard, state.plane.entry(), state.client, settings.gateway, std::move(hooks));
    state.callers = std::make_unique<CallerServer>(
        state.context, settings.callers,
        [this](CallerRequest request, std::shared_ptr<CallerChannel> channel) {
            m_state->gateway->arrive(std::move(request), std::move(channel));
        },
        [this](ConnectionId connection) { m_state->gateway->callerLeft(connection); });
    addAdminRoutes(state.admin, *this, state.metrics);
}

Daemon::~Daemon() = default;

asio::io_context& Daemon::context() { return m_state->context; }
Blackboard& Daemon::blackboard() { return m_state->blackboard; }
ControlPlane& Daemon::plane() { return m_state->plane; }
EntryController& Daemon::entry() { return m_state->plane.entry(); }
Gateway& Daemon::gateway() { return *m_state->gateway; }
AdminServer& Daemon::admin() { return m_state->admin; }
HttpClient& Daemon::client() { return m_state->client; }

void Daemon::addMetrics(std::function<void(std::string&)> append)
{
    m_state->metricAppenders.push_back(std::move(append));
}

std::string Daemon::partMetrics() const
{
    std::string out;
    for (const auto& it : m_state->metricAppenders)
        it(out);
    return out;
}

void Daemon::add(std::unique_ptr<DaemonPart> part) { m_state->parts.push_back(std::move(part)); }

void Daemon::setClaimHandler(std::function<void(const RequestIdentity&)> handler)
{
    m_state->claimHandler = std::move(handler);
}

void Daemon::setStoreSubmitter(std::function<void(std::vector<StoreCommand>)> submit)
{
    m_state->storeSubmitter = std::move(submit);
}

void Daemon::setPeerSender(std::function<void(std::vector<OutgoingMessage>)> send)
{
    m_state->peerSender = std::move(send);
}

void Daemon::onRequestFinished(std::function<void(const RequestOutcome&)> handler)
{
    m_state->finishedHandlers.push_back(std::move(handler));
}

void Daemon::wake() { m_state->wake(); }

void Daemon::callAfter(Duration delay, std::function<void()> function)
{
    auto timer = std::make_shared<asio::steady_timer>(m_state->context, delay);
    timer->async_wait([timer, function = std::move(function)](const asio::error_code& ec) {
        if (!ec)
            function();
    });
}

void Daemon::run()
{
    m_state->callers->open();
    m_state->admin.open();
    m_state->listenForSignals();
    logEvent(Event::DaemonStarted,
        { { "daemon", m_state->settings.daemon.name }, { "callers_port", int64_t { callersPort() } },
            { "admin_port", int64_t { m_state->admin.port() } } });
    wake();
    m_state->context.run();
}

void Daemon::drain() { m_state->drain(); }

bool Daemon::isReady() const
{
    const auto& blackboard = m_state->blackboard;
    return !blackboard.draining && !blackboard.fenced && blackboard.configuration->version > 0;
}

uint16_t Daemon::callersPort() const { return m_state->callers->port(); }

} // namespace lentilbay
