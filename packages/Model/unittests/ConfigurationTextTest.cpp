// Tests of parsing, error reports with file, line, key and allowed values, and the canonical form.
#include "lentilbay/Model/ConfigurationText.h"
#include "lentilbay/Support/Secret.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;

constexpr auto sample = R"([objective]
goodput = 3
wasted_prefill = 0.5

[tier window]
rank = 0
sheddable = no
preemptible = no
first_token_within = 800ms
answer_within = 5s
goodput_weight = 10

[tier overnight]
rank = 1
sheddable = yes
preemptible = yes
answer_within = 9h
goodput_weight = 1

[organisation brokers]
key.2026-12 = salt$0123abcd
key.2027-01 = salt$4567cdef
tiers = window, overnight
requests_per_second = 40
tokens_per_second = 20000.5
concurrency = 8
weight = 2

[service booking]
kind = plain
idempotent = no
key = required
deadline = 3s
retries = 0

[service price-answers]
kind = model
idempotent = yes
key = optional

[endpoint booking-1]
address = 10.1.0.2:9000
region = lahore
data_centre = lahore-1
services = booking
slots = 4
kv_tokens = 0
checks_fencing = no

[endpoint engine-1]
address = [fd00::1]:8000
region = karachi
data_centre = karachi-1
services = price-answers
generation = g2
slots = 16
kv_tokens = 200000
checks_fencing = yes

[model price-answers]
versions = v3, v4
adapters = grades
replicas.karachi = 1
)";

std::vector<std::string> diagnosticsOf(std::string_view text)
{
    Diagnostics diagnostics;
    parseConfiguration(text, "c.ini", diagnostics);
    std::vector<std::string> out;
    for (const auto& it : diagnostics)
        out.push_back(printed(it));
    return out;
}

/// The sample with the first occurrence of `from` replaced by `to`.
std::string sampleWith(std::string_view from, std::string_view to)
{
    std::string text = sample;
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

TEST(ConfigurationText, ParsesAllElements)
{
    Diagnostics diagnostics;
    const auto it = parseConfiguration(sample, "c.ini", diagnostics);
    ASSERT_THAT(diagnostics, IsEmpty());
    EXPECT_EQ(it.objective, (Objective { .goodput = 3, .wastedPrefill = 0.5 }));
    ASSERT_EQ(it.tiers.size(), 2U);
    EXPECT_EQ(it.tiers[0],
        (Tier { .name = TierId("window"),
            .rank = 0,
            .sheddable = false,
            .preemptible = false,
            .firstTokenWithin = 800ms,
            .answerWithin = 5s,
            .goodputWeight = 10 }));
    ASSERT_EQ(it.organisations.size(), 1U);
    EXPECT_THAT(it.organisations[0].keys,
        ElementsAre(
            OrganisationKey { "2026-12", "salt$0123abcd" }, OrganisationKey { "2027-01", "salt$4567cdef" }));
    EXPECT_EQ(it.organisations[0].limits.concurrency, 8);
    EXPECT_EQ(it.organisations[0].limits.tokensPerSecond, 20000.5);
    EXPECT_FALSE(findService(it, ServiceId("booking"))->idempotent);
    EXPECT_EQ(findService(it, ServiceId("price-answers"))->key, IdempotencyKeyRule::Optional);
    const auto* engine = findEndpoint(it, EndpointId("engine-1"));
    ASSERT_NE(engine, nullptr);
    EXPECT_EQ(engine->host, "fd00::1");
    EXPECT_EQ(engine->port, 8000);
    EXPECT_TRUE(engine->checksFencing);
    EXPECT_THAT(it.models,
        ElementsAre(ModelPlacement { .name = ModelId("price-answers"),
            .versions = { "v3", "v4" },
            .adapters = { "grades" },
            .replicas = { { RegionId("karachi"), 1 } } }));
}

TEST(ConfigurationText, PrintsCanonicalForm)
{
    Diagnostics diagnostics;
    const auto text = printConfiguration(parseConfiguration(sample, "c.ini", diagnostics));
    EXPECT_EQ(text, sample);
}

TEST(ConfigurationText, OrderAndSpacingDoNotMatter)
{
    const auto text = "[model price-answers]\nversions=v3,v4\nadapters=grades\nreplicas.karachi=1\n"
        + sampleWith(
            "[model price-answers]\nversions = v3, v4\nadapters = grades\nreplicas.karachi = 1\n", "");
    Diagnostics diagnostics;
    EXPECT_EQ(printConfiguration(parseConfiguration(text, "c.ini", diagnostics)), sample);
    EXPECT_THAT(diagnostics, IsEmpty());
}

TEST(ConfigurationText, ContentHashIsHashOfCanonicalForm)
{
    Diagnostics diagnostics;
    auto configuration = parseConfiguration(sample, "c.ini", diagnostics);
    const auto hash = contentHash(configuration);
    EXPECT_EQ(hash, sha256Hex(sample));
    configuration.version = 7;
    EXPECT_EQ(contentHash(configuration), hash);
    configuration.objective.goodput = 4;
    EXPECT_NE(contentHash(configuration), hash);
}

TEST(ConfigurationText, ContinuesLongLists)
{
    std::string text = sample;
    std::vector<std::string> adapters;
    for (int n = 10; n < 40; ++n)
        adapters.push_back("adapter-of-thirty-bytes-long-" + std::to_string(n));
    Diagnostics diagnostics;
    auto configuration = parseConfiguration(text, "c.ini", diagnostics);
    configuration.models[0].adapters = adapters;
    const auto printedText = printConfiguration(configuration);
    EXPECT_EQ(parseConfiguration(printedText, "c.ini", diagnostics).models[0].adapters, adapters);
    EXPECT_THAT(diagnostics, IsEmpty());
}

TEST(ConfigurationText, ReportsAllErrorsOfDocument)
{
    EXPECT_THAT(diagnosticsOf("stray = 1\n[tier gold]\nrank = 9\nsheddable = maybe\n[tier silver]\n"
                              "[organisation x]\nkey.a = in-the-clear\ntiers = lead\ncolour = red\n"
                              "[service s]\nkind = model\n[zone z]\nq = 1\n"),
        ElementsAre("c.ini:1: LB-6003 stray: the key stands before the first section",
            "c.ini:3: LB-6007 tier gold.rank: '9' is out of range; allowed: 0 to 7",
            "c.ini:4: LB-6006 tier gold.sheddable: 'maybe' is not allowed; allowed: yes, no",
            "c.ini: LB-6008 tier silver.rank: the key is required and must not be empty",
            "c.ini:7: LB-6006 organisation x.key.a: the value is not a salted hash; allowed: <salt>$<hash>",
            "c.ini:9: LB-6004 organisation x.colour: the key is not known; allowed: concurrency, key.<name>, "
            "key.a, requests_per_second, tiers, tokens_per_second, weight",
            "c.ini:12: LB-6003 zone z: the section is not known; allowed: objective, tier NAME, "
            "organisation NAME, service NAME, endpoint NAME, model NAME",
            "c.ini:5: LB-6011 tier silver.rank: tier gold has the rank 0 as well",
            "c.ini:8: LB-6010 organisation x.tiers: no tier is named 'lead'; allowed: gold, silver",
            "c.ini:10: LB-6013 service s: no endpoint offers the service"));
}

TEST(ConfigurationText, RejectsEmptyDocument)
{
    EXPECT_THAT(diagnosticsOf(""),
        ElementsAre("c.ini: LB-6008 tier: at least one is required",
            "c.ini: LB-6008 organisation: at least one is required",
            "c.ini: LB-6008 service: at least one is required"));
}

TEST(ConfigurationText, ReportsTooLongNamesWithoutTruncation)
{
    const std::string tooLongForIni(maxIniName, 'a');
    EXPECT_THAT(diagnosticsOf(sampleWith("[endpoint booking-1]", "[endpoint " + tooLongForIni + "]")),
        testing::Contains(
            HasSubstr("c.ini:41: LB-6002 endpoint " + tooLongForIni + ": the name is longer than 49 bytes")));
    const std::string tooLong(maxConfigurationName + 1, 'a');
    EXPECT_THAT(diagnosticsOf(sampleWith("[endpoint booking-1]", "[endpoint " + tooLong + "]")),
        ElementsAre(HasSubstr("c.ini:41: LB-6009 endpoint " + tooLong + ": ")));
    const std::string longest(maxConfigurationName, 'a');
    EXPECT_THAT(diagnosticsOf(sampleWith("[endpoint booking-1]", "[endpoint " + longest + "]")), IsEmpty());
}

TEST(ConfigurationText, ReportsEmptySection)
{
    EXPECT_THAT(diagnosticsOf(std::string(sample) + "[tier empty]\n"),
        testing::Contains("c.ini: LB-6008 tier empty.rank: the key is required and must not be empty"));
}

struct CrossCheck {
    const char* name;
    const char* from;
    const char* to;
    const char* diagnostic;
};

class ConfigurationCrossCheck : public testing::TestWithParam<CrossCheck> { };

TEST_P(ConfigurationCrossCheck, ReportsOnlyExpectedError)
{
    EXPECT_THAT(diagnosticsOf(sampleWith(GetParam().from, GetParam().to)),
        ElementsAre(HasSubstr(GetParam().diagnostic)));
}

const CrossCheck crossChecks[] {
    { "UnknownService", "services = booking", "services = booking, lots",
        "c.ini:45: LB-6010 endpoint booking-1.services: no service is named 'lots'; allowed: booking, "
        "price-answers" },
    { "DuplicateRank", "rank = 1", "rank = 0",
        "c.ini:6: LB-6011 tier window.rank: tier overnight has the rank 0 as well" },
    { "LowerTierNotSheddable", "sheddable = yes\npreemptible = yes\nanswer_within = 9h",
        "sheddable = no\npreemptible = no\nanswer_within = 4s\n[tier late]\nrank = 2\n[tier last]\nrank = "
        "3\nsheddable = no",
        "LB-6012 tier last.sheddable: tier late ranks higher and is sheddable, so this tier must be too" },
    { "LowerTierNotPreemptible", "preemptible = no\nfirst_token_within = 800ms",
        "preemptible = yes\n[tier last]\nrank = 2\npreemptible = no\n[tier window]",
        "LB-6012 tier last.preemptible: tier overnight ranks higher and is preemptible" },
    { "FirstTokenAfterAnswer", "first_token_within = 800ms", "first_token_within = 6s",
        "c.ini:9: LB-6012 tier window.first_token_within: the first token comes after the whole answer; "
        "allowed: at most answer_within = 5s" },
    { "UnsheddableWithoutLimit", "concurrency = 8\n", "",
        "LB-6013 organisation brokers.concurrency: tier window is never refused, so its organisations need a "
        "limit; allowed: 1 to 20" },
    { "UnsheddableBeyondSlots", "concurrency = 8", "concurrency = 21",
        "LB-6013 tier window.sheddable: its organisations may have 21 requests at once and all endpoints "
        "have "
        "20 slots" },
    { "RetriedNonIdempotent", "retries = 0", "retries = 1",
        "LB-6014 service booking.retries: the service is non-idempotent; allowed: 0" },
    { "TooManyReplicas", "replicas.karachi = 1", "replicas.karachi = 2",
        "LB-6013 model price-answers.replicas.karachi: 2 replicas are wanted; allowed: 0 to 1" },
    { "ReplicasInUnknownRegion", "replicas.karachi", "replicas.quetta", "allowed: 0 to 0" },
    { "ModelWithoutService", "[model price-answers]", "[model other]",
        "LB-6010 model other: no service of kind model has this name" },
    { "SameAddress", "10.1.0.2:9000", "[fd00::1]:8000",
        "LB-6011 endpoint engine-1.address: endpoint booking-1 has the same address" },
    { "DataCentreInTwoRegions", "data_centre = karachi-1", "data_centre = lahore-1",
        "LB-6011 endpoint engine-1.data_centre: the data centre stands in region lahore already" },
    { "SameKeyTwice", "salt$4567cdef", "salt$0123abcd",
        "LB-6011 organisation brokers.key.2027-01: organisation brokers has the same key" },
    { "MixedKinds", "services = booking", "services = booking, price-answers", "LB-6015" },
    { "ModelWithoutCache", "kv_tokens = 200000", "kv_tokens = 0",
        "LB-6015 endpoint engine-1.kv_tokens: a model endpoint needs the size of its KV cache" },
    { "PlainWithCache", "kv_tokens = 0", "kv_tokens = 5", "LB-6015 endpoint booking-1.kv_tokens" },
    { "HostName", "10.1.0.2:9000", "booking.example:9000",
        "LB-6006 endpoint booking-1.address: 'booking.example:9000' is not an address" },
    { "NoPort", "10.1.0.2:9000", "10.1.0.2", "LB-6006 endpoint booking-1.address" },
};

INSTANTIATE_TEST_SUITE_P(All, ConfigurationCrossCheck, testing::ValuesIn(crossChecks),
    [](const auto& info) { return std::string(info.param.name); });

} // namespace
} // namespace lentilbay
