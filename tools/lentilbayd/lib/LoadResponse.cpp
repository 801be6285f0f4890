// Parses the JSON body of GET /load.
#include "LoadResponse.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace lentilbay {
namespace {

using Json = nlohmann::json;

constexpr double maxCount = 4e9;
constexpr double maxAgeMilliseconds = 3.6e6;

/// Returns the number under `key`, 0 if the key is missing, or std::nullopt if the value is not a number from
/// 0 to `max`.
std::optional<double> readNumber(const Json& json, const char* key, double max)
{
    const auto it = json.find(key);
    if (it == json.end())
        return 0;
    if (!it->is_number())
        return std::nullopt;
    const auto value = it->get<double>();
    return value >= 0 && value <= max ? std::optional(value) : std::nullopt;
}

} // namespace

std::optional<LoadResponse> parseLoadResponse(std::string_view text, TimePoint now)
{
    const auto json = Json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("running"))
        return std::nullopt;
    const auto running = readNumber(json, "running", maxCount);
    const auto waiting = readNumber(json, "waiting", maxCount);
    const auto kvTokens = readNumber(json, "kv_tokens_used", 1e15);
    const auto age = readNumber(json, "age_ms", maxAgeMilliseconds);
    const auto leaving = json.find("leaving");
    const bool leavingIsFlag = leaving == json.end() || leaving->is_boolean();
    if (!running || !waiting || !kvTokens || !age || !leavingIsFlag)
        return std::nullopt;
    return LoadResponse { .load = { .running = static_cast<uint32_t>(*running),
                              .waiting = static_cast<uint32_t>(*waiting),
                              .kvTokensUsed = static_cast<uint64_t>(*kvTokens),
                              .measuredAt = now - fromSeconds(*age / 1000) },
        .leaving = leaving != json.end() && leaving->get<bool>() };
}

} // namespace lentilbay
