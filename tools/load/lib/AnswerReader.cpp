// Compares responses with the answer that the stand-ins derive from the request's content.
#include "AnswerReader.h"

#include <nlohmann/json.hpp>

namespace lentilbay::load {

using nlohmann::json;

namespace {

constexpr std::string_view eventPrefix = "data: ";
constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view doneMarker = "[DONE]";
constexpr int firstErrorStatus = 400;

ResultCode parseResultCode(const std::string& text)
{
    for (const auto& row : resultCodeTable()) {
        if (printed(row.code) == text)
            return row.code;
    }
    return ResultCode::EndpointRefused;
}

Executed parseExecuted(const std::string& text)
{
    return text == printed(Executed::No)    ? Executed::No
        : text == printed(Executed::Partly) ? Executed::Partly
                                            : Executed::Unknown;
}

/// Records a refusal: by lentilbay if the body has one of its result codes, otherwise by the endpoint.
void recordRefusal(const json& body, CallerRecord& record)
{
    record.end = CallerEnd::Refused;
    record.code = ResultCode::EndpointRefused;
    record.ran = Executed::Unknown;
    if (!body.is_object() || !body.contains("error") || !body["error"].is_object())
        return;
    record.code = parseResultCode(body["error"].value("code", ""));
    record.ran = parseExecuted(body["error"].value("ran", ""));
}

std::string textOf(const json& answer, const char* part)
{
    if (!answer.contains("choices") || answer["choices"].empty())
        return {};
    const auto& choice = answer["choices"][0];
    if (choice.contains("text"))
        return choice["text"].get<std::string>();
    return choice.value(part, json::object()).value("content", "");
}

} // namespace

CallerRecord AnswerReader::finish(const standins::HttpReply& reply) const
{
    auto record = m_request.record;
    record.id = RequestId(reply.header("Lentilbay-Request-Id"));
    record.end = CallerEnd::Lost;
    if (reply.status >= firstErrorStatus && reply.error.empty()) {
        recordRefusal(json::parse(m_body, nullptr, false), record);
        return record;
    }
    if (reply.status == 0)
        return record;
    if (m_request.streams)
        readStream(record);
    else if (!reply.error.empty())
        return record;
    else if (m_request.expectedAnswer.empty())
        readServiceAnswer(record);
    else
        readModelAnswer(record);
    return record;
}

void AnswerReader::readStream(CallerRecord& record) const
{
    std::string text;
    bool ended = false;
    for (size_t at = 0; m_body.compare(at, eventPrefix.size(), eventPrefix) == 0;) {
        const auto stop = m_body.find(eventEnd, at);
        if (stop == std::string::npos)
            break;
        const auto data = m_body.substr(at + eventPrefix.size(), stop - at - eventPrefix.size());
        at = stop + eventEnd.size();
        ended = data == doneMarker;
        if (ended)
            break;
        const auto chunk = json::parse(data, nullptr, false);
        if (chunk.is_object() && chunk.contains("error"))
            return recordRefusal(chunk, record);
        if (chunk.is_object())
            text += textOf(chunk, "delta");
    }
    if (ended)
        compareWithExpected(text, true, record);
}

void AnswerReader::readModelAnswer(CallerRecord& record) const
{
    const auto answer = json::parse(m_body, nullptr, false);
    compareWithExpected(answer.is_object() ? textOf(answer, "message") : std::string(), true, record);
}

void AnswerReader::readServiceAnswer(CallerRecord& record) const
{
    const auto answer = json::parse(m_body, nullptr, false);
    record.end = CallerEnd::Answered;
    record.whole = answer.is_object();
    record.own = record.whole && answer.value("digest", uint64_t { 0 }) == record.contentDigest;
}

void AnswerReader::compareWithExpected(const std::string& text, bool ended, CallerRecord& record) const
{
    record.end = CallerEnd::Answered;
    record.whole = ended && text == m_request.expectedAnswer;
    // A truncated answer still belongs to this request.
    record.own = m_request.expectedAnswer.starts_with(text);
}

} // namespace lentilbay::load
