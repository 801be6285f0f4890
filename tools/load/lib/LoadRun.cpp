// Each thread repeatedly claims the next request, waits until its scheduled time and sends it.
#include "LoadRun.h"

#include "AnswerReader.h"
#include "HttpClient.h"
#include "lentilbay/Support/SteadyClock.h"

#include <atomic>
#include <optional>
#include <thread>

namespace lentilbay::load {

namespace {

std::vector<standins::HttpHeader> headersOf(const PlannedRequest& request, const LoadRunOptions& options)
{
    const auto& record = request.record;
    std::vector<standins::HttpHeader> headers {
        { .name = "Authorization", .value = "Bearer " + options.keyPrefix + record.organisation.text() },
        { .name = "Content-Type", .value = "application/json" },
        { .name = "Lentilbay-Tier", .value = record.tier.text() },
    };
    if (record.deadline)
        headers.push_back({ .name = "Lentilbay-Deadline",
            .value = std::to_string(
                std::chrono::duration_cast<std::chrono::milliseconds>(*record.deadline).count()) });
    if (!request.idempotencyKey.empty())
        headers.push_back({ .name = "Idempotency-Key", .value = request.idempotencyKey });
    return headers;
}

CallerRecord send(standins::HttpClient& client, const PlannedRequest& request, const DaemonAddress& daemon,
    const LoadRunOptions& options)
{
    AnswerReader reader(request);
    const auto sentAt = steadyNow();
    const auto reply = client.call({ .method = request.method,
        .url = "http://" + daemon.address + request.path,
        .headers = headersOf(request, options),
        .body = request.body,
        .timeout = options.timeout,
        .onData = [&](std::string_view bytes) {
            reader.append(bytes);
            return true;
        } });
    auto record = reader.finish(reply);
    record.daemon = DaemonId(daemon.name);
    record.sentAt = sentAt;
    record.endedAt = steadyNow();
    if (record.end == CallerEnd::Lost && reply.timedOut)
        record.end = CallerEnd::Left;
    return record;
}

} // namespace

std::vector<CallerRecord> runLoad(const std::vector<PlannedRequest>& requests, const LoadRunOptions& options)
{
    std::vector<std::optional<CallerRecord>> records(requests.size());
    std::atomic<size_t> next = 0;
    const auto start = steadyNow();
    const auto work = [&] {
        standins::HttpClient client;
        for (auto n = next++; n < requests.size(); n = next++) {
            std::this_thread::sleep_for(start + requests[n].at - steadyNow());
            if (options.stopped())
                return;
            records[n] = send(client, requests[n], options.daemons[n % options.daemons.size()], options);
        }
    };
    std::vector<std::thread> threads;
    for (size_t n = 0; n < options.threads; ++n)
        threads.emplace_back(work);
    for (auto& it : threads)
        it.join();
    std::vector<CallerRecord> sent;
    for (auto& it : records) {
        if (it)
            sent.push_back(std::move(*it));
    }
    return sent;
}

} // namespace lentilbay::load
