// What the controller of the configuration keeps: its parts, and the daemons that report here.
#pragma once

#include "AcceptanceWatcher.h"
#include "ChangeProposer.h"
#include "ConfigurationContext.h"
#include "ConfigurationFence.h"
#include "ConfigurationReplica.h"
#include "FloorRecorder.h"
#include "RosterKeeper.h"
#include "SilenceJudge.h"
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
    void takeHead(const StoreReply& reply, TimePoint sentAt, TimePoint now);

    std::vector<DaemonId> centreMembers() const;
    bool isReporter() const { return reporter() == blackboard.self; }
    DaemonId reporter() const;
    bool judgesRegion() const;
    void sendReports(TimePoint now);
    void sendReport(const DaemonId& to, const std::string& address, TimePoint now);
    std::map<DaemonId, std::string> witnesses() const;
    void noteOwnFloor();

    void takeReport(
        const DaemonId& from, const std::string& address, const ConfigurationReport& report, TimePoint now);
    void takeAcknowledgement(const DaemonId& from, const ConfigurationReport& report, HeadNotice& answer);
    std::optional<DataCentreId> dataCentreOf(const DaemonId& id) const;
    void takeDependent(
        const DaemonId& from, const ConfigurationReport& report, HeadNotice& answer, TimePoint now);
    void takeNotice(
        const DaemonId& from, const std::string& address, const HeadNotice& notice, TimePoint now);
    HeadNotice noticeAfter(uint64_t version, TimePoint now) const;
    void pushNews(TimePoint now);

    /// A daemon that reports here.
    struct Client {
        std::string address;
        uint64_t inForce = 0;
        TimePoint heardAt;
    };
    /// A daemon that is not in the roster yet and for which this one answers.
    struct Dependent {
        uint64_t floor = 0;
        TimePoint heardAt;
    };

    Blackboard& blackboard;
    ConfigurationContext context;
    ConfigurationReplica replica;
    ConfigurationFence fence;
    RosterKeeper rosterKeeper;
    FloorRecorder recorder;
    SilenceJudge judge;
    ChangeProposer proposer;
    AcceptanceWatcher watcher;
    VersionReader versions;

    Backoff pollBackoff;
    bool polling = false;
    TimePoint steppedAt;
    TimePoint nextReport;
    TimePoint nextJudgement;
    TimePoint answeredAt;
    /// How many daemons of the data centre have been passed over as reporters.
    size_t passedOver = 0;
    uint64_t floor = 0;
    uint64_t reportedFloor = 0;
    uint64_t pushedVersion = 0;
    std::map<DaemonId, Client> clients;
    std::map<DaemonId, Dependent> dependents;
    DaemonId sponsor;
};

} // namespace lentilbay
