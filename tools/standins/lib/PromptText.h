// The prompt of an OpenAI-compatible body as one text.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace lentilbay::standins {

/// "prompt" of a completion; of a chat each message's role and content, each followed by a line feed.
/// Throws nlohmann::json::exception where the body has neither.
std::string promptTextOf(const nlohmann::json& body);

} // namespace lentilbay::standins
