// Fuzzes the platform's decoders: any text yields a value or a failure with the decoder's result code.
#include "lentilbay/platform/CallerHeaders.h"
#include "lentilbay/platform/ConfigurationCheck.h"
#include "lentilbay/platform/Documents.h"
#include "lentilbay/platform/ProcessSettings.h"
#include "lentilbay/platform/StoreCalls.h"

#include <cstdlib>
#include <iostream>

using namespace lentilbay;

namespace {

template <class T, class F> void check(F decode, ResultCode expected)
{
    const auto outcome = outcomeOf<T>(decode);
    const auto* failure = std::get_if<Failure>(&outcome);
    if (failure && failure->code != expected) {
        std::cerr << "unexpected failure " << printed(failure->code) << ": " << failure->detail << '\n';
        std::abort();
    }
}

/// A document is checked if and only if it can be decoded, and differs from itself in nothing but its
/// version.
void checkFindings(const std::string& text)
{
    const auto checked = platform::checkConfiguration(text);
    const auto outcome = outcomeOf<RouteTable>([&] { return platform::decodeConfiguration(text); });
    const bool isDecoded = std::holds_alternative<RouteTable>(outcome);
    const bool isConsistent = isDecoded == checked.table.has_value()
        && (!checked.table || platform::compareConfigurations(*checked.table, *checked.table).size() == 1);
    if (!isConsistent || (!isDecoded && checked.findings.empty())) {
        std::cerr << "a check does not agree with the decoder\n";
        std::abort();
    }
}

bool areAlike(const RouteTable& a, const RouteTable& b)
{
    return a.version() == b.version() && a.routes() == b.routes() && a.limits() == b.limits()
        && a.services() == b.services() && a.organisations() == b.organisations();
}

/// A configuration is decoded in the same way whether or not its former version is known.
void checkNextConfiguration(const std::string& text)
{
    const auto whole = outcomeOf<RouteTable>([&] { return platform::decodeConfiguration(text); });
    const auto next = outcomeOf<platform::DecodedConfiguration>(
        [&] { return platform::decodeNextConfiguration(text, nullptr, {}); });
    const auto* expected = std::get_if<RouteTable>(&whole);
    const auto* found = std::get_if<platform::DecodedConfiguration>(&next);
    bool isAlike = !expected == !found && (!expected || areAlike(found->table, *expected));
    if (found) {
        const auto again = outcomeOf<platform::DecodedConfiguration>(
            [&] { return platform::decodeNextConfiguration(text, &found->table, found->routeTexts); });
        const auto* same = std::get_if<platform::DecodedConfiguration>(&again);
        isAlike = isAlike && same && areAlike(same->table, found->table);
    }
    if (!isAlike) {
        std::cerr << "a configuration is decoded in different ways\n";
        std::abort();
    }
}

void checkPromptParts(const std::string& text)
{
    http::HttpRequest request;
    request.headers.add("X-Prefix-Hash", text);
    const auto metadata = platform::decodeCallerMetadata(request);
    bool isBounded = metadata.promptParts.size() <= platform::maxPromptParts;
    for (const auto& it : metadata.promptParts)
        isBounded = isBounded && it.tokens <= platform::maxPartTokens;
    if (metadata.lastPromptPart)
        isBounded = isBounded && metadata.lastPromptPart->tokens <= platform::maxPartTokens;
    if (!isBounded) {
        std::cerr << "the parts of a prompt exceed their bounds\n";
        std::abort();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    check<std::shared_ptr<const platform::ProcessSettings>>(
        [&] { return platform::decodeSettings(text); }, ResultCode::PlatformSettingsInvalid);
    check<RouteTable>(
        [&] { return platform::decodeConfiguration(text); }, ResultCode::PlatformDocumentInvalid);
    check<RoutedEndpoint>(
        [&] { return platform::decodeEndpoint(EndpointId("i"), text); }, ResultCode::PlatformDocumentInvalid);
    check<platform::RolloutDocument>([&] { return platform::decodeRolloutOrder("rollout/llm", text); },
        ResultCode::PlatformDocumentInvalid);
    check<platform::RolloutStatusDocument>(
        [&] { return platform::decodeRolloutStatus(text); }, ResultCode::PlatformDocumentInvalid);
    check<platform::StoreRows>(
        [&] { return platform::decodeRows(text, 0); }, ResultCode::PlatformAnswerInvalid);
    checkFindings(text);
    checkNextConfiguration(text);
    checkPromptParts(text);
    return 0;
}
