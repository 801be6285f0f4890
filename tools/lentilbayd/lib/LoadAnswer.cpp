// Reads the JSON of GET /load.
#include "LoadAnswer.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace lentilbay {
namespace {

using Json = nlohmann::json;

constexpr double largestCount = 4e9;
constexpr double longestAgeMilliseconds = 3.6e6;

/// A number from 0 to `most`; 0 where the key is missing, nothing where it is anything else.
std::optional<double> count(const Json& json, const char* key, double most)
{
    const auto it = json.find(key);
    if (it == json.end())
        return 0;
    if (!it->is_number())
        return std::nullopt;
    const auto value = it->get<double>();
    return value >= 0 && value <= most ? std::optional(value) : std::nullopt;
}

} // namespace

std::optional<LoadAnswer> parseLoadAnswer(std::string_view text, TimePoint now)
{
    const auto json = Json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("running"))
        return std::nullopt;
    const auto running = count(json, "running", largestCount);
    const auto waiting = count(json, "waiting", largestCount);
    const auto kvTokens = count(json, "kv_tokens_used", 1e15);
    const auto age = count(json, "age_ms", longestAgeMilliseconds);
    const auto leaving = json.find("leaving");
    const bool leavingIsFlag = leaving == json.end() || leaving->is_boolean();
    if (!running || !waiting || !kvTokens || !age || !leavingIsFlag)
        return std::nullopt;
    return LoadAnswer { .load = { .running = static_cast<uint32_t>(*running),
                            .waiting = static_cast<uint32_t>(*waiting),
                            .kvTokensUsed = static_cast<uint64_t>(*kvTokens),
                            .measuredAt = now - fromSeconds(*age / 1000) },
        .leaving = leaving != json.end() && leaving->get<bool>() };
}

} // namespace lentilbay
