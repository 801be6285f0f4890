// Validates requests. JSON parsing is left to nlohmann::json, UTF-8 decoding to Boost.Locale.
#include "lentilbay/Gateway/RequestParser.h"

#include "lentilbay/Model/PromptPrefix.h"
#include "lentilbay/Support/Units.h"

#include <algorithm>
#include <boost/locale/utf.hpp>
#include <cctype>
#include <nlohmann/json.hpp>

namespace lentilbay {
namespace {

using Json = nlohmann::json;

constexpr int64_t maxDeadlineMilliseconds = 604'800'000; // a week
constexpr size_t maxIdempotencyKeyBytes = 255;
constexpr int64_t maxAnswerTokensLimit = 10'000'000;

boost::leaf::error_id invalid(std::string detail)
{
    return fail(ResultCode::InvalidRequest, std::move(detail));
}

/// Returns the text of a message's content, which is a string or a list of parts; parts without a text are
/// skipped.
Result<std::string> textOfContent(const Json& content)
{
    if (content.is_null())
        return std::string();
    if (content.is_string())
        return content.get<std::string>();
    if (!content.is_array())
        return invalid("'content' must be a string or a list of parts.");
    std::string text;
    for (const auto& part : content) {
        if (!part.is_object())
            return invalid("Each part of 'content' must be an object.");
        const auto it = part.find("text");
        if (it == part.end())
            continue;
        if (!it->is_string())
            return invalid("'text' must be a string.");
        text += it->get_ref<const std::string&>();
    }
    return text;
}

Result<std::string> chatPrompt(const Json& body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return invalid("'messages' must be a list of at least one message.");
    std::string text;
    for (const auto& message : *messages) {
        if (!message.is_object())
            return invalid("Each message must be an object.");
        const auto role = message.find("role");
        if (role == message.end() || !role->is_string())
            return invalid("Each message must have a 'role', a string.");
        const auto it = message.find("content");
        BOOST_LEAF_AUTO(
            content, it == message.end() ? Result<std::string>(std::string()) : textOfContent(*it));
        text += role->get_ref<const std::string&>();
        text += '\n';
        text += content;
        text += '\n';
    }
    return text;
}

Result<std::string> textPrompt(const Json& body)
{
    const auto prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string())
        return invalid("'prompt' must be a string.");
    return prompt->get<std::string>();
}

Result<uint32_t> maxAnswerTokensOf(const Json& body)
{
    for (const auto* key : { "max_completion_tokens", "max_tokens" }) {
        const auto it = body.find(key);
        if (it == body.end() || it->is_null())
            continue;
        const bool isInt64
            = it->is_number_integer() && !(it->is_number_unsigned() && it->get<uint64_t>() > INT64_MAX);
        const auto value = isInt64 ? it->get<int64_t>() : 0;
        if (value < 1 || value > maxAnswerTokensLimit)
            return invalid(std::string("'") + key + "' must be a whole number from 1 to 10000000.");
        return static_cast<uint32_t>(value);
    }
    return 0U;
}

Result<bool> wantsStream(const Json& body)
{
    const auto it = body.find("stream");
    if (it == body.end() || it->is_null())
        return false;
    if (!it->is_boolean())
        return invalid("'stream' must be true or false.");
    return it->get<bool>();
}

Result<void> checkSingleChoice(const Json& body)
{
    const auto it = body.find("n");
    if (it == body.end() || it->is_null() || *it == 1)
        return {};
    return invalid("'n' must be 1.");
}

Result<CompletionParameters> parametersOf(const Json& body, CompletionKind kind)
{
    if (!body.is_object())
        return invalid("The body must be an object.");
    const auto model = body.find("model");
    if (model == body.end() || model->is_null() || *model == "")
        return fail(ResultCode::MissingModel, "");
    if (!model->is_string())
        return invalid("'model' must be a string.");
    CompletionParameters parameters { .model = model->get<std::string>() };
    BOOST_LEAF_ASSIGN(parameters.stream, wantsStream(body));
    BOOST_LEAF_ASSIGN(parameters.maxAnswerTokens, maxAnswerTokensOf(body));
    BOOST_LEAF_CHECK(checkSingleChoice(body));
    BOOST_LEAF_AUTO(prompt, kind == CompletionKind::Chat ? chatPrompt(body) : textPrompt(body));
    parameters.promptTokens = std::max<uint32_t>(1, estimateTokens(prompt));
    parameters.prefixHashes = prefixHashesOf(prompt);
    return parameters;
}

bool isIdempotencyKeyCharacter(unsigned char c) { return c > ' ' && c < 0x7F; }

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

} // namespace

bool isUtf8(std::string_view text)
{
    using Traits = boost::locale::utf::utf_traits<char>;
    for (const auto* it = text.data(); it != text.data() + text.size();) {
        const auto point = Traits::decode(it, text.data() + text.size());
        if (point == boost::locale::utf::illegal || point == boost::locale::utf::incomplete)
            return false;
    }
    return true;
}

Result<CompletionParameters> parseCompletion(std::string_view body, CompletionKind kind)
{
    if (!isUtf8(body))
        return fail(ResultCode::InvalidUtf8, "");
    const auto json = Json::parse(body, nullptr, false);
    if (json.is_discarded())
        return fail(ResultCode::MalformedJson, "");
    return parametersOf(json, kind);
}

Result<CallerHeaders> parseHeaders(const CallerRequest& request)
{
    CallerHeaders headers;
    if (const auto* deadline = request.find("lentilbay-deadline")) {
        const auto milliseconds = parseInteger(*deadline);
        if (!milliseconds || *milliseconds < 1 || *milliseconds > maxDeadlineMilliseconds)
            return fail(ResultCode::InvalidDeadline, "Allowed: 1 to 604800000.");
        headers.deadline = std::chrono::milliseconds { *milliseconds };
    }
    if (const auto* key = request.find("idempotency-key")) {
        const bool valid = std::all_of(key->begin(), key->end(), isIdempotencyKeyCharacter);
        if (key->empty() || key->size() > maxIdempotencyKeyBytes || !valid)
            return fail(ResultCode::InvalidIdempotencyKey, "Allowed: 1 to 255 visible ASCII characters.");
        headers.idempotencyKey = *key;
    }
    if (const auto* tier = request.find("lentilbay-tier"))
        headers.tier = *tier;
    return headers;
}

Result<std::string> parseBearerKey(const CallerRequest& request)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto* value = request.find("authorization");
    if (!value || value->size() <= scheme.size()
        || !equalIgnoringCase(std::string_view(*value).substr(0, scheme.size()), scheme))
        return fail(ResultCode::MissingKey, "");
    return value->substr(scheme.size());
}

} // namespace lentilbay
