// The internal state of ConfigurationController: its parts, and the daemons that report here.
#pragma once

#include "AcceptanceWatcher.h"
#include "AcknowledgementWriter.h"
#include "ChangeProposer.h"
#include "ConfigurationContext.h"
#include "ConfigurationFence.h"
#include "ConfigurationReplica.h"
#include "RosterClient.h"
#include "SilentMemberExcluder.h"
#include "VersionReader.h"
#include "lentilbay/Control/ConfigurationController.h"

#include <map>
#include <string>
#include <vector>

namespace lentilbay {

struct ConfigurationController::State {
    State(Blackboard& board, ConfigurationOptions options, TimePoint now);

    void refresh(TimePoint now);
    void afterEvent(TimePoint now);
    uint64_t ownFloor() const;

    void pollHead(TimePoint now);
    void handleHeadReply(const StoreReply& reply, TimePoint sentAt, TimePoint now);

    std::vector<DaemonId> rankedDataCentreDaemons() const;
    bool isDataCentreCoordinator() const { return dataCentreCoordinator() == blackboard.self; }
    DaemonId dataCentreCoordinator() const;
    bool isRegionCoordinator() const;
    void sendReports(TimePoint now);
    void sendReport(const DaemonId& to, const std::string& address, TimePoint now);
    std::map<DaemonId, std::string> confirmationPeers() const;
    void recordOwnFloor();

    void handleReport(
        const DaemonId& from, const std::string& address, const ConfigurationReport& report, TimePoint now);
    void recordAcknowledgement(const DaemonId& from, const ConfigurationReport& report, HeadNotice& answer);
    std::optional<DataCentreId> dataCentreOf(const DaemonId& id) const;
    void becomeSponsor(
        const DaemonId& from, const ConfigurationReport& report, HeadNotice& answer, TimePoint now);
    void handleNotice(
        const DaemonId& from, const std::string& address, const HeadNotice& notice, TimePoint now);
    HeadNotice noticeAfter(uint64_t version, TimePoint now) const;
    void pushNewVersion(TimePoint now);

    /// A daemon that sends its reports to this one.
    struct ReportingDaemon {
        std::string address;
        uint64_t inForce = 0;
        TimePoint lastReportAt;
    };
    /// A daemon that is not registered in the roster yet and may start work because this one holds its floor
    /// down.
    struct SponsoredDaemon {
        uint64_t floor = 0;
        TimePoint lastReportAt;
    };

    Blackboard& blackboard;
    ConfigurationContext context;
    ConfigurationReplica replica;
    ConfigurationFence fence;
    RosterClient rosterClient;
    AcknowledgementWriter acknowledgementWriter;
    SilentMemberExcluder silentMemberExcluder;
    ChangeProposer proposer;
    AcceptanceWatcher watcher;
    VersionReader versions;

    Backoff pollBackoff;
    bool isPolling = false;
    TimePoint steppedAt;
    TimePoint nextReport;
    TimePoint nextExclusionCheck;
    TimePoint lastAnswerAt;
    /// How many daemons of the data centre have been skipped as coordinators because they did not answer.
    size_t skippedCoordinators = 0;
    uint64_t floor = 0;
    uint64_t reportedFloor = 0;
    uint64_t pushedVersion = 0;
    std::map<DaemonId, ReportingDaemon> reportingDaemons;
    std::map<DaemonId, SponsoredDaemon> sponsoredDaemons;
    DaemonId sponsor;
};

} // namespace lentilbay
