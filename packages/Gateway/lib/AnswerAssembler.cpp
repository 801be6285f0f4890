// Merges the chunks of a completion stream into one JSON response.
#include "lentilbay/Gateway/AnswerAssembler.h"

#include <nlohmann/json.hpp>

namespace lentilbay {
namespace {

using Json = nlohmann::json;

/// Returns the member of the object, or nullptr if there is none or it is not an object.
const Json* member(const Json* object, const char* key)
{
    if (!object || !object->is_object())
        return nullptr;
    const auto it = object->find(key);
    return it == object->end() ? nullptr : &*it;
}

/// Returns the text added by a chunk, or nothing if the chunk has another structure.
std::optional<std::string> textOf(const Json& choice, bool chat)
{
    const auto* text = chat ? member(member(&choice, "delta"), "content") : member(&choice, "text");
    if (!text || !text->is_string())
        return std::nullopt;
    return text->get<std::string>();
}

struct AnswerBuilder {
    Json last;
    std::string text;
    Json finishReason;
    bool valid = true;

    bool add(std::string_view data, bool chat)
    {
        auto chunk = Json::parse(data, nullptr, false);
        const auto choices = chunk.is_object() ? chunk.find("choices") : chunk.end();
        if (!chunk.is_object() || choices == chunk.end() || !choices->is_array())
            return false;
        if (!choices->empty()) {
            const auto added = textOf(choices->front(), chat);
            if (!added && chunk.contains("token_index"))
                return false;
            text += added.value_or("");
            if (const auto* reason = member(&choices->front(), "finish_reason"))
                finishReason = *reason;
        }
        last = std::move(chunk);
        return true;
    }
};

} // namespace

bool AnswerAssembler::consume(std::string_view bytes) { return m_relay.consume(bytes, m_events); }

std::optional<std::string> AnswerAssembler::answer(bool chat) const
{
    if (!isComplete())
        return std::nullopt;
    AnswerBuilder builder;
    SseParser parser;
    if (!parser.consume(m_events, [&](std::string_view data) { return builder.add(data, chat); }))
        return std::nullopt;
    Json choice { { "index", 0 }, { "finish_reason", builder.finishReason } };
    if (chat)
        choice["message"] = { { "role", "assistant" }, { "content", builder.text } };
    else
        choice["text"] = builder.text;
    auto answer = std::move(builder.last);
    answer.erase("token_index");
    answer["object"] = chat ? "chat.completion" : "text_completion";
    answer["choices"] = Json::array({ std::move(choice) });
    return answer.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace lentilbay
