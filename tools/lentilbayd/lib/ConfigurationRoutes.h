// Admin routes of the configuration, called by `lentilbayctl configuration`.
#pragma once

#include "Daemon.h"

namespace lentilbay {

/// Requires a control plane with a configuration controller.
void addConfigurationRoutes(AdminServer& server, Daemon& daemon);

} // namespace lentilbay
