// The platform's calls as HTTP and JSON. Private to Platform; docs/design/Interfaces.md lists them.
#pragma once

#include "lentilbay/Control/StoreMessages.h"
#include "lentilbay/Platform/HttpClient.h"

#include <optional>
#include <string>

namespace lentilbay {

bool isObjectOperation(const StoreOperation& operation);
/// Whether a lost answer leaves open what became of it.
bool isWriteOperation(const StoreOperation& operation);
/// Whether repeating it after a lost answer does no harm.
bool isRepeatable(const StoreOperation& operation);

HttpCall callOf(const StoreOperation& operation, const std::string& tableUrl, const std::string& objectsUrl);

/// The reply of a whole answer with status 200, 404 or 409; nothing where it is not understood.
std::optional<StoreReply> replyOf(const StoreOperation& operation, int status, const std::string& body);

} // namespace lentilbay
