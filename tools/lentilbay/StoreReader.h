// Reads the configuration in force from the platform's store.
#pragma once

#include "lentilbay/Support/Result.h"
#include "lentilbay/Support/Time.h"
#include "lentilbay/platform/ProcessSettings.h"

#include <string>

namespace lentilbay {

/// The document that the store has, or why it cannot be read.
Result<std::string> readConfigurationFromStore(const platform::Address& store, Duration timeout);

} // namespace lentilbay
