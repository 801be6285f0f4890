// Concatenates the messages of a chat request.
#include "PromptText.h"

#include <nlohmann/json.hpp>

namespace lentilbay::standins {

std::string promptTextOf(const nlohmann::json& body)
{
    if (body.contains("prompt"))
        return body.at("prompt").get<std::string>();
    std::string text;
    for (const auto& it : body.at("messages")) {
        text += it.at("role").get<std::string>();
        text += '\n';
        text += it.at("content").get<std::string>();
        text += '\n';
    }
    return text;
}

} // namespace lentilbay::standins
