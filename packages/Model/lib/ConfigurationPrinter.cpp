// Prints a configuration in its canonical form.
#include "lentilbay/Model/ConfigurationText.h"
#include "lentilbay/Support/Secret.h"
#include "lentilbay/Support/Units.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <optional>
#include <type_traits>
#include <utility>

namespace lentilbay {
namespace {

/// A list that would exceed this length is continued in a further key, which keeps lines below inih's limit.
constexpr size_t maxListBytes = 120;

/// Appends sections and keys to a text.
class Printer {
public:
    void section(std::string_view kind, const std::string& name)
    {
        fmt::format_to(std::back_inserter(m_out), "{}[{}{}{}]\n", m_out.empty() ? "" : "\n", kind,
            name.empty() ? "" : " ", name);
    }

    template <class T> void key(std::string_view name, const T& value)
    {
        fmt::format_to(std::back_inserter(m_out), "{} = {}\n", name, value);
    }
    void key(std::string_view name, bool value) { key(name, value ? "yes" : "no"); }
    void key(std::string_view name, Duration value) { key(name, printDuration(value)); }
    template <class T> void key(std::string_view name, const std::optional<T>& value)
    {
        if (value)
            key(name, *value);
    }

    void list(const std::string& name, const std::vector<std::string>& words)
    {
        std::string line;
        int part = 1;
        for (const auto& word : words) {
            if (!line.empty() && line.size() + 2 + word.size() > maxListBytes) {
                listLine(name, part++, line);
                line.clear();
            }
            line += line.empty() ? word : ", " + word;
        }
        if (!line.empty())
            listLine(name, part, line);
    }
    template <class Id> void list(const std::string& name, const std::vector<Id>& ids)
    {
        std::vector<std::string> words;
        words.reserve(ids.size());
        for (const auto& id : ids)
            words.push_back(id.text());
        list(name, words);
    }

    std::string take() { return std::move(m_out); }

private:
    void listLine(const std::string& name, int part, const std::string& line)
    {
        key(part == 1 ? name : fmt::format("{}.{}", name, part), line);
    }

    std::string m_out;
};

void print(Printer& out, const Objective& objective)
{
    out.section("objective", "");
    out.key("goodput", objective.goodput);
    out.key("wasted_prefill", objective.wastedPrefill);
}

void print(Printer& out, const Tier& tier)
{
    out.section("tier", tier.name.text());
    out.key("rank", tier.rank);
    out.key("sheddable", tier.sheddable);
    out.key("preemptible", tier.preemptible);
    out.key("first_token_within", tier.firstTokenWithin);
    out.key("answer_within", tier.answerWithin);
    out.key("goodput_weight", tier.goodputWeight);
}

void print(Printer& out, const Organisation& organisation)
{
    out.section("organisation", organisation.name.text());
    for (const auto& key : organisation.keys)
        out.key("key." + key.label, key.hash);
    out.list("tiers", organisation.tiers);
    out.key("requests_per_second", organisation.limits.requestsPerSecond);
    out.key("tokens_per_second", organisation.limits.tokensPerSecond);
    out.key("concurrency", organisation.limits.concurrency);
    out.key("weight", organisation.weight);
}

void print(Printer& out, const Service& service)
{
    out.section("service", service.name.text());
    out.key("kind", service.kind == ServiceKind::Model ? "model" : "plain");
    out.key("idempotent", service.idempotent);
    out.key("key", service.key == IdempotencyKeyRule::Required ? "required" : "optional");
    out.key("deadline", service.deadline);
    out.key("retries", service.retries);
}

void print(Printer& out, const Endpoint& endpoint)
{
    const bool isV6 = endpoint.host.find(':') != std::string::npos;
    out.section("endpoint", endpoint.name.text());
    const auto host = isV6 ? "[" + endpoint.host + "]" : endpoint.host;
    out.key("address", fmt::format("{}:{}", host, endpoint.port));
    out.key("region", endpoint.region.text());
    out.key("data_centre", endpoint.dataCentre.text());
    out.list("services", endpoint.services);
    if (!endpoint.generation.empty())
        out.key("generation", endpoint.generation);
    out.key("slots", endpoint.slots);
    out.key("kv_tokens", endpoint.kvTokens);
    out.key("checks_fencing", endpoint.checksFencing);
}

void print(Printer& out, const ModelPlacement& model)
{
    out.section("model", model.name.text());
    out.list("versions", model.versions);
    out.list("adapters", model.adapters);
    for (const auto& it : model.replicas)
        out.key("replicas." + it.region.text(), it.replicas);
}

template <class T> void printSorted(Printer& out, std::vector<T> elements)
{
    std::sort(elements.begin(), elements.end(), [](const T& left, const T& right) {
        if constexpr (std::is_same_v<T, Tier>) {
            if (left.rank != right.rank)
                return left.rank < right.rank;
        }
        return left.name < right.name;
    });
    for (const auto& element : elements)
        print(out, element);
}

} // namespace

std::string printConfiguration(const Configuration& configuration)
{
    Printer out;
    print(out, configuration.objective);
    printSorted(out, configuration.tiers);
    printSorted(out, configuration.organisations);
    printSorted(out, configuration.services);
    printSorted(out, configuration.endpoints);
    printSorted(out, configuration.models);
    return out.take();
}

std::string contentHash(const Configuration& configuration)
{
    return sha256Hex(printConfiguration(configuration));
}

} // namespace lentilbay
