// Extracts the prompt of an OpenAI-compatible request body as a single string.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace lentilbay::standins {

/// For a completion, "prompt"; for a chat, the role and content of each message, each followed by a line
/// feed. Throws nlohmann::json::exception if the body has neither "prompt" nor "messages".
std::string promptTextOf(const nlohmann::json& body);

} // namespace lentilbay::standins
