// HTTP and JSON encoding of the calls to the table and object services. Private to Platform;
// docs/design/Interfaces.md lists the calls.
#pragma once

#include "lentilbay/Control/StoreMessages.h"
#include "lentilbay/Platform/HttpClient.h"

#include <optional>
#include <string>

namespace lentilbay {

bool isObjectOperation(const StoreOperation& operation);
/// Whether the operation modifies the store, so that its effect is unknown if the response is lost.
bool isWriteOperation(const StoreOperation& operation);
/// Whether the operation can safely be retried after a lost response.
bool isIdempotent(const StoreOperation& operation);

HttpCall makeHttpCall(
    const StoreOperation& operation, const std::string& tableUrl, const std::string& objectsUrl);

/// Parses a complete response; returns nothing if its status or body is not valid for the operation.
std::optional<StoreReply> parseReply(const StoreOperation& operation, int status, const std::string& body);

} // namespace lentilbay
