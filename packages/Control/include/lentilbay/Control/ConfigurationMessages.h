// How daemons spread the configuration and learn whether others may still start work under an older one.
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
    /// 0: none is known.
    uint64_t version = 0;
    std::string hash;

    auto operator<=>(const ConfigurationHead&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(version, hash); }
};

/// What a daemon has; answered by a HeadNotice.
struct ConfigurationReport {
    /// The sender's own clock in microseconds; it comes back in the answer.
    int64_t sentAt = 0;
    uint64_t incarnation = 0;
    /// The sender starts no work under a version lower than this, and never will in this incarnation.
    uint64_t floor = 0;
    uint64_t inForce = 0;
    /// Of the newest roster that the sender has read.
    uint64_t rosterSequence = 0;
    /// Whether the sender's row stands in the roster.
    bool registered = false;

    bool operator==(const ConfigurationReport&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(sentAt, incarnation, floor, inForce, rosterSequence, registered);
    }
};

/// The document of a version as its difference from the version before.
struct ConfigurationStep {
    uint64_t version = 0;
    ConfigurationDifference difference;

    bool operator==(const ConfigurationStep&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(version, difference); }
};

/// The newest version that the sender knows of. Comes in answer to a report, or unasked with a new version.
struct HeadNotice {
    /// From the report; 0 where nobody asked, and then the notice proves nothing about time.
    int64_t sentAt = 0;
    ConfigurationHead head;
    /// How long ago the table confirmed that this was the newest version, in microseconds; -1: unknown.
    int64_t headAge = -1;
    /// Of the newest roster that the sender has heard of.
    uint64_t rosterSequence = 0;
    /// What stands in the table of the receiver's own acknowledgement; 0 where nothing does.
    uint64_t recordedFloor = 0;
    uint64_t recordedRosterSequence = 0;
    /// Whether the sender takes no new work.
    bool fenced = true;
    /// Whether the sender stands in the roster and has read the head since.
    bool registered = false;
    /// The versions after the receiver's, as far as they are at hand.
    std::vector<ConfigurationStep> steps;

    bool operator==(const HeadNotice&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(sentAt, head, headAge, rosterSequence, recordedFloor, recordedRosterSequence, fenced,
            registered, steps);
    }
};

/// Asks for the whole document in force.
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
