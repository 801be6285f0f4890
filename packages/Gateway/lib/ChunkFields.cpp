// SAX handler for the chunks and responses of engines.
#include "lentilbay/Gateway/ChunkFields.h"

#include <nlohmann/json.hpp>
#include <string>

namespace lentilbay {
namespace {

using Json = nlohmann::json;

/// Tracks the nesting depth and stores numbers at the top level and inside "usage".
class ChunkSaxHandler : public nlohmann::json_sax<Json> {
public:
    ChunkFields fields;
    bool isObject = false;

    bool null() override { return value(); }
    bool boolean(bool) override { return value(); }
    bool number_integer(number_integer_t) override { return value(); } // NOLINT: the library's name
    bool number_unsigned(number_unsigned_t number) override // NOLINT: the library's name
    {
        storeNumber(number);
        return value();
    }
    bool number_float(number_float_t, const string_t&) override
    {
        return value();
    } // NOLINT: the library's name
    bool string(string_t&) override { return value(); }
    bool binary(binary_t&) override { return value(); }
    bool start_object(size_t) override // NOLINT: the library's name
    {
        if (m_depth == 0)
            isObject = true;
        if (m_depth == 1 && m_key == Key::Usage) {
            m_inUsage = true;
            fields.usage.emplace();
        }
        if (m_depth == 1 && m_key == Key::Error)
            fields.hasError = true;
        ++m_depth;
        return true;
    }
    bool end_object() override // NOLINT: the library's name
    {
        if (--m_depth == 1)
            m_inUsage = false;
        return value();
    }
    bool start_array(size_t) override // NOLINT: the library's name
    {
        ++m_depth;
        return true;
    }
    bool end_array() override // NOLINT: the library's name
    {
        --m_depth;
        return value();
    }
    bool key(string_t& name) override
    {
        if (m_depth == 1)
            m_key = topLevelKey(name);
        else if (m_depth == 2 && m_inUsage)
            m_key = usageKey(name);
        return true;
    }
    bool parse_error(size_t, const std::string&, const nlohmann::detail::exception&) override // NOLINT
    {
        return false;
    }

private:
    enum class Key : uint8_t {
        Other,
        TokenIndex,
        Usage,
        Error,
        PromptTokens,
        CompletionTokens,
        CachedTokens
    };

    static Key topLevelKey(const std::string& name)
    {
        if (name == "token_index")
            return Key::TokenIndex;
        if (name == "usage")
            return Key::Usage;
        return name == "error" ? Key::Error : Key::Other;
    }

    static Key usageKey(const std::string& name)
    {
        if (name == "prompt_tokens")
            return Key::PromptTokens;
        if (name == "completion_tokens")
            return Key::CompletionTokens;
        return name == "cached_tokens" ? Key::CachedTokens : Key::Other;
    }

    bool value()
    {
        if (m_depth <= 2)
            m_key = Key::Other;
        return true;
    }

    void storeNumber(uint64_t number)
    {
        if (number > UINT32_MAX)
            return;
        const auto n = static_cast<uint32_t>(number);
        if (m_depth == 1 && m_key == Key::TokenIndex)
            fields.tokenIndex = n;
        if (m_depth != 2 || !m_inUsage)
            return;
        if (m_key == Key::PromptTokens)
            fields.usage->promptTokens = n;
        if (m_key == Key::CompletionTokens)
            fields.usage->completionTokens = n;
        if (m_key == Key::CachedTokens)
            fields.usage->cachedTokens = n;
    }

    int m_depth = 0;
    Key m_key = Key::Other;
    bool m_inUsage = false;
};

} // namespace

std::optional<ChunkFields> parseChunk(std::string_view json)
{
    ChunkSaxHandler reader;
    if (!Json::sax_parse(json.begin(), json.end(), &reader) || !reader.isObject)
        return std::nullopt;
    return reader.fields;
}

} // namespace lentilbay
