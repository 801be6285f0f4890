// The request kinds of the two example deployments, with the tiers and services of their configurations in
// examples/. The ranks are those of one deployment that serves the tiers of both.
#include "Workload.h"

#include <stdexcept>

namespace lentilbay::load {

using namespace std::chrono_literals;

namespace {

std::vector<RequestKind> daejeonKinds()
{
    const std::vector<std::string> presses { "hanbat-press", "letters-press" };
    const std::vector<std::string> societies { "chemistry-society", "geology-society", "hanbat-press" };
    const std::vector<std::string> journal { "journal-office" };
    return {
        { .service = "line-edits",
            .organisations = presses,
            .tier = "editing",
            .rank = 3,
            .minPromptTokens = 8'000,
            .maxPromptTokens = 60'000,
            .sharedPrefixTokens = 1'500,
            .maxAnswerTokens = 4'000,
            .deadline = 30min,
            .share = 2 },
        { .service = "style-reviews",
            .organisations = societies,
            .tier = "background",
            .rank = 5,
            .minPromptTokens = 2'000,
            .maxPromptTokens = 8'000,
            .sharedPrefixTokens = 1'000,
            .maxAnswerTokens = 1'000,
            .deadline = 20min,
            .share = 3 },
        { .service = "reference-checks",
            .organisations = societies,
            .tier = "desk",
            .rank = 4,
            .minPromptTokens = 400,
            .maxPromptTokens = 1'500,
            .sharedPrefixTokens = 200,
            .maxAnswerTokens = 150,
            .deadline = 3min,
            .share = 4 },
        { .service = "corrections",
            .organisations = journal,
            .tier = "proof",
            .rank = 1,
            .method = "POST",
            .path = "/corrections",
            .nonIdempotent = true,
            .deadline = 20s,
            .share = 3 },
        { .service = "manuscript-status",
            .organisations = journal,
            .tier = "desk",
            .rank = 4,
            .method = "GET",
            .path = "/manuscripts",
            .deadline = 10s,
            .share = 3 },
    };
}

std::vector<RequestKind> cooperativeKinds()
{
    const std::vector<std::string> brokers { "brokers", "desk" };
    return {
        { .service = "price-answers",
            .organisations = brokers,
            .tier = "window",
            .rank = 0,
            .minPromptTokens = 300,
            .maxPromptTokens = 900,
            .sharedPrefixTokens = 250,
            .maxAnswerTokens = 60,
            .deadline = 5s,
            .share = 6 },
        { .service = "contract-drafts",
            .organisations = { "brokers", "members" },
            .tier = "contract",
            .rank = 2,
            .minPromptTokens = 1'500,
            .maxPromptTokens = 6'000,
            .sharedPrefixTokens = 1'200,
            .maxAnswerTokens = 1'500,
            .deadline = 1min,
            .share = 2 },
        { .service = "grade-summaries",
            .organisations = { "millers", "smelters" },
            .tier = "overnight",
            .rank = 6,
            .minPromptTokens = 4'000,
            .maxPromptTokens = 20'000,
            .sharedPrefixTokens = 500,
            .maxAnswerTokens = 800,
            .deadline = 9h,
            .share = 2 },
        { .service = "lot-checks",
            .organisations = { "members", "desk" },
            .tier = "desk",
            .rank = 4,
            .method = "GET",
            .path = "/lots",
            .deadline = 10s,
            .share = 3 },
        { .service = "lot-booking",
            .organisations = { "brokers", "desk" },
            .tier = "window",
            .rank = 0,
            .method = "POST",
            .path = "/reservations",
            .nonIdempotent = true,
            .deadline = 10s,
            .share = 3 },
    };
}

} // namespace

std::vector<RequestKind> requestKindsOf(const std::string& user)
{
    if (user == "daejeon")
        return daejeonKinds();
    if (user == "cooperative")
        return cooperativeKinds();
    throw std::invalid_argument("unknown user: " + user + "; allowed: daejeon, cooperative");
}

} // namespace lentilbay::load
