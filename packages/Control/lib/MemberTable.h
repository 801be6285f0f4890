// The daemons of one's own region, and the news of them that is still to be passed on.
#pragma once

#include "lentilbay/Control/MembershipMessages.h"
#include "lentilbay/Support/Random.h"
#include "lentilbay/Support/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lentilbay {

/// Whether `candidate` is later news of the same daemon than `known`.
bool supersedes(const MemberUpdate& candidate, const MemberUpdate& known);

class MemberTable {
public:
    struct Record {
        MemberUpdate update;
        /// When the present health began here.
        TimePoint since {};
        /// How often the news is still to be sent.
        uint32_t sendsLeft = 0;
    };

    /// Takes later news in and gives it out again; false where it was known or outdated.
    bool merge(const MemberUpdate& update, TimePoint now);
    const Record* find(const DaemonId& id) const;
    const std::map<DaemonId, Record>& records() const { return m_records; }
    std::vector<MemberUpdate> updates() const;

    /// Up to `count` pieces of news, those sent least often first; each is counted as sent. News of `about`
    /// always comes first where it is not that the daemon is well.
    std::vector<MemberUpdate> takeNews(size_t count, const std::optional<DaemonId>& about);

    /// Lets the news of a daemon be sent as often as when it was new.
    void renewNews(const DaemonId& id);

    /// Dead daemons are forgotten after `retention`, and the longest dead where there are more than `most`.
    std::vector<DaemonId> forgetDead(Duration retention, size_t most, TimePoint now);
    /// Restarts the time of all suspicions, after a pause in which no answer could be read.
    void restartSuspicions(TimePoint now);

private:
    uint32_t sendsOfNews() const;

    std::map<DaemonId, Record> m_records;
};

} // namespace lentilbay
