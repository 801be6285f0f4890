// Decides for how long a daemon leaves reading a table of the platform's store to another daemon.
//
// A daemon whose reader does not read any more has to notice that early enough to read the table itself, also
// if its first call fails.
#pragma once

#include "lentilbay/Support/Time.h"

#include <algorithm>
#include <optional>

namespace lentilbay::edge {

struct ReaderWatch {
    /// A view is at most this old when the daemon reads the table itself.
    Duration maxViewAge {};
    /// The reader's own view, as it is reported, is at most this old while the reader reads the table.
    Duration maxReaderAge {};

    /// For how long the table need not be read; zero or less: it has to be read now.
    /// @param confirmedAt when the daemon's view was last complete
    /// @param readerAt when the newest view that another daemon has reported was complete
    Duration passiveTime(std::optional<TimePoint> confirmedAt, TimePoint readerAt, TimePoint now) const
    {
        if (!confirmedAt)
            return Duration::zero();
        return std::min<Duration>(*confirmedAt + maxViewAge - now, readerAt + maxReaderAge - now);
    }
};

} // namespace lentilbay::edge
