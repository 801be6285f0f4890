// The admin listener's pages on the configuration; lentilbayctl configuration calls them.
#pragma once

#include "Daemon.h"

namespace lentilbay {

/// Needs a control plane with a configuration controller.
void addConfigurationPages(AdminServer& server, Daemon& daemon);

} // namespace lentilbay
