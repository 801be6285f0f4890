// Test configuration, requests and a recording channel.
#include "GatewayFixtures.h"

#include "lentilbay/Support/Secret.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace lentilbay {
namespace {

std::string errorMember(const FakeChannel& channel, const char* name)
{
    auto text = channel.streamStarted ? channel.streamed : *channel.response.body;
    const auto at = text.rfind("{\"error\"");
    if (at == std::string::npos)
        return "";
    const auto body = nlohmann::json::parse(text.substr(at), nullptr, false);
    if (body.is_discarded())
        return "";
    return body["error"][name].get<std::string>();
}

} // namespace

Configuration testConfiguration(uint16_t enginePort, uint16_t servicePort)
{
    const auto plain = [](const char* name, bool idempotent, IdempotencyKeyRule key) {
        return Service {
            .name = ServiceId(name), .kind = ServiceKind::Plain, .idempotent = idempotent, .key = key
        };
    };
    return { .version = 1,
        .tiers = { { .name = TierId("high"), .rank = 0 }, { .name = TierId("low"), .rank = 1 } },
        .organisations = { { .name = OrganisationId("press"),
                               .keys = { { "a", hashKey(testKey, "5a") } },
                               .tiers = { TierId("high"), TierId("low") } },
            { .name = OrganisationId("coop"),
                .keys = { { "a", hashKey("sk-coop", "5b") } },
                .tiers = { TierId("high") } } },
        .services = { { .name = ServiceId("m1") }, { .name = ServiceId("m2") },
            plain("stock", true, IdempotencyKeyRule::Required),
            plain("books", false, IdempotencyKeyRule::Required),
            plain("notes", false, IdempotencyKeyRule::Optional) },
        .endpoints = { { .name = EndpointId("engine"),
                           .host = "127.0.0.1",
                           .port = enginePort,
                           .services = { ServiceId("m1"), ServiceId("m2") },
                           .slots = 1000 },
            { .name = EndpointId("service"),
                .host = "127.0.0.1",
                .port = servicePort,
                .services = { ServiceId("stock"), ServiceId("books"), ServiceId("notes") },
                .slots = 1000 } } };
}

CallerRequest testRequest(
    std::string method, std::string path, std::string body, std::vector<HttpField> fields)
{
    fields.emplace_back("authorization", std::string("Bearer ") + testKey);
    return { .method = std::move(method),
        .path = std::move(path),
        .fields = std::move(fields),
        .body = std::move(body),
        .connection = 1 };
}

void FakeChannel::answer(CallerAnswer answer)
{
    EXPECT_FALSE(streamStarted) << "response sent after the start of a stream";
    ++answers;
    response = std::move(answer);
}

void FakeChannel::beginStream(std::vector<HttpField>)
{
    EXPECT_FALSE(streamStarted);
    streamStarted = true;
}

void FakeChannel::write(std::string_view bytes)
{
    EXPECT_TRUE(streamStarted && !ended);
    streamed += bytes;
}

void FakeChannel::endStream()
{
    EXPECT_TRUE(streamStarted && !ended);
    ended = true;
    ++answers;
}

std::string FakeChannel::code() const { return errorMember(*this, "code"); }

std::string FakeChannel::ran() const { return errorMember(*this, "ran"); }

} // namespace lentilbay
