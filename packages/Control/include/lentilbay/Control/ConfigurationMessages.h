// Messages that distribute the configuration and its acknowledgements between daemons.
#pragma once

#include "lentilbay/Model/ConfigurationDifference.h"
#include "lentilbay/Support/Identifier.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace lentilbay {

/// A version of the configuration and the content hash of its document.
struct ConfigurationHead {
    /// 0 if no version is known.
    uint64_t version = 0;
    std::string hash;

    auto operator<=>(const ConfigurationHead&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(version, hash); }
};

/// The state of the sender; answered by a HeadNotice.
struct ConfigurationReport {
    /// By the sender's own clock, in microseconds; copied into the answer.
    int64_t sentAt = 0;
    uint64_t incarnation = 0;
    /// The sender starts no work under a lower version, now or later in this incarnation.
    uint64_t floor = 0;
    uint64_t inForce = 0;
    /// Of the newest roster that the sender has read.
    uint64_t rosterSequence = 0;
    /// Whether the sender is registered in the roster.
    bool registered = false;

    bool operator==(const ConfigurationReport&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(sentAt, incarnation, floor, inForce, rosterSequence, registered);
    }
};

/// The document of a version as a difference from the version before.
struct ConfigurationDelta {
    uint64_t version = 0;
    ConfigurationDifference difference;

    bool operator==(const ConfigurationDelta&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(version, difference); }
};

/// The newest version known to the sender. Sent in answer to a report, or unsolicited with a new version.
struct HeadNotice {
    /// Copied from the report; 0 if unsolicited, and then the notice confirms no version as of any time.
    int64_t sentAt = 0;
    ConfigurationHead head;
    /// Time since the table confirmed this version as the newest, in microseconds; -1 if unknown.
    int64_t headAge = -1;
    /// Of the newest roster known to exist by the sender.
    uint64_t rosterSequence = 0;
    /// The receiver's own acknowledgement as stored in the table; 0 if none is stored. For a receiver that is
    /// not registered: the floor that the sender holds as its sponsor, or 0.
    uint64_t recordedFloor = 0;
    uint64_t recordedRosterSequence = 0;
    /// Whether the sender takes no new work.
    bool fenced = true;
    /// Whether the sender is registered in the roster and has confirmed the head since then.
    bool registered = false;
    /// The available differences after the receiver's version in force.
    std::vector<ConfigurationDelta> deltas;

    bool operator==(const HeadNotice&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(sentAt, head, headAge, rosterSequence, recordedFloor, recordedRosterSequence, fenced,
            registered, deltas);
    }
};

/// Requests the whole document in force if its version is greater than `newerThan`.
struct DocumentRequest {
    uint64_t newerThan = 0;

    bool operator==(const DocumentRequest&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(newerThan); }
};

struct DocumentReply {
    ConfigurationHead head;
    std::string document;

    bool operator==(const DocumentReply&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(head, document); }
};

} // namespace lentilbay
