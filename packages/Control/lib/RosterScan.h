// Reads the whole roster as one consistent snapshot. Private to Control.
#pragma once

#include "ConfigurationContext.h"

#include <functional>
#include <optional>
#include <string>

namespace lentilbay {

class RosterScan {
public:
    /// Receives std::nullopt if the table did not answer or the roster changed during the scan.
    using Callback = std::function<void(std::optional<Roster>, TimePoint)>;

    explicit RosterScan(ConfigurationContext& context)
        : m_context(context)
    {
    }

    /// Must not be called while a scan is running.
    void begin(Callback callback);

private:
    void readPage(std::string after);
    void confirmSequence();
    void finish(std::optional<Roster> roster, TimePoint now);

    ConfigurationContext& m_context;
    Callback m_callback;
    Roster m_roster;
};

} // namespace lentilbay
