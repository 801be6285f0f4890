// Request execution in a fake engine: steps, tokens and streams.
#include "lentilbay/Fakes/EngineModel.h"

#include "lentilbay/Model/PromptPrefix.h"

#include <algorithm>
#include <cassert>

namespace lentilbay::fakes {

std::optional<uint64_t> EngineModel::submit(const EngineRequest& request, TimePoint now)
{
    assert(request.answerTokens > 0 && "answerTokens must be at least 1");
    advance(now);
    m_records.push_back({ .id = request.id,
        .model = request.model,
        .digest = request.digest,
        .arrivedAt = now,
        .promptTokens = request.promptTokens,
        .answerTokens = request.answerTokens });
    const auto record = m_records.size() - 1;
    if (m_faults.refuse) {
        m_records[record].end = EngineEnd::Refused;
        m_records[record].endedAt = now;
        return std::nullopt;
    }
    const auto stream = ++m_lastStream;
    m_jobs.emplace(record, Job { .prefixHashes = request.prefixHashes, .streams = { { .number = stream } } });
    m_waiting.push_back(record);
    recordLoad(now);
    if (!m_stepEnds)
        beginStep(now);
    return stream;
}

std::optional<uint64_t> EngineModel::resume(const RequestId& id, uint32_t from, TimePoint now)
{
    advance(now);
    const auto record = newestRecord(id);
    if (!record || !m_jobs.contains(*record) || from > m_records[*record].answerTokens)
        return std::nullopt;
    const auto stream = ++m_lastStream;
    m_jobs[*record].streams.push_back({ .number = stream, .next = from });
    serveStreams(*record, m_records[*record].end == EngineEnd::Whole);
    return stream;
}

void EngineModel::cancel(const RequestId& id, TimePoint now)
{
    advance(now);
    std::vector<size_t> found;
    for (const auto& [record, job] : m_jobs) {
        if (m_records[record].id == id && m_records[record].end == EngineEnd::Running)
            found.push_back(record);
    }
    for (const auto record : found) {
        for (const auto& stream : m_jobs[record].streams)
            m_outputs.push_back({ .stream = stream.number,
                .kind = EngineOutput::Kind::Break,
                .index = m_records[record].tokensProduced,
                .record = record });
        endJob(record, EngineEnd::Cancelled, now);
        m_jobs.erase(record);
        std::erase(m_finished, record);
    }
}

void EngineModel::closeStream(uint64_t stream)
{
    for (auto& [record, job] : m_jobs)
        std::erase_if(job.streams, [&](const Stream& it) { return it.number == stream; });
}

void EngineModel::advance(TimePoint now)
{
    while (m_stepEnds && *m_stepEnds <= now) {
        const auto ended = *m_stepEnds;
        m_stepEnds.reset();
        finishStep(ended);
        beginStep(ended);
    }
}

std::vector<EngineOutput> EngineModel::takeOutputs() { return std::exchange(m_outputs, {}); }

void EngineModel::admit(TimePoint now)
{
    while (!m_waiting.empty() && m_running.size() < m_options.maxRunning) {
        const auto record = m_waiting.front();
        auto& entry = m_records[record];
        const auto needed = entry.promptTokens + entry.answerTokens;
        if (!m_running.empty() && runningTokens() + needed > m_options.kvTokens)
            return;
        m_waiting.pop_front();
        m_running.push_back(record);
        const auto blocks = m_cache.findLeading(m_jobs[record].prefixHashes);
        // The last token of the prompt is always computed, because it yields the first token of the answer.
        const auto maxCached = entry.promptTokens == 0 ? 0 : entry.promptTokens - 1;
        entry.prefillCached = std::min(blocks * prefixBlockTokens, maxCached);
        shrinkCacheToFit(now);
        recordLoad(now);
    }
}

void EngineModel::beginStep(TimePoint now)
{
    if (m_faults.stalled)
        return;
    admit(now);
    if (m_running.empty())
        return;
    auto budget = m_options.prefillChunk;
    uint32_t prefillTokens = 0;
    uint32_t decoding = 0;
    for (const auto record : m_running) {
        auto& job = m_jobs[record];
        const auto& entry = m_records[record];
        decoding += job.decoding ? 1 : 0;
        if (job.decoding)
            continue;
        job.scheduledPrefill
            = std::min(budget, entry.promptTokens - entry.prefillCached - entry.prefillComputed);
        budget -= job.scheduledPrefill;
        prefillTokens += job.scheduledPrefill;
    }
    auto seconds = prefillTokens / m_options.prefillTokensPerSecond;
    if (decoding > 0) {
        const auto requestsPastKnee = decoding > m_options.knee ? decoding - m_options.knee : 0;
        seconds += toSeconds(m_options.decodeStep) * (1 + m_options.slowdownPastKnee * requestsPastKnee);
    }
    m_stepEnds = now + fromSeconds(seconds * m_faults.slowFactor);
}

void EngineModel::finishStep(TimePoint now)
{
    const auto running = m_running;
    for (const auto record : running) {
        auto& job = m_jobs[record];
        auto& entry = m_records[record];
        if (!job.decoding) {
            entry.prefillComputed += std::exchange(job.scheduledPrefill, 0);
            if (entry.prefillComputed + entry.prefillCached < entry.promptTokens)
                continue;
            job.decoding = true;
            m_cache.store(job.prefixHashes, now);
            shrinkCacheToFit(now);
        }
        produceToken(record, now);
    }
    recordLoad(now);
}

void EngineModel::produceToken(size_t record, TimePoint now)
{
    auto& entry = m_records[record];
    if (entry.tokensProduced++ == 0)
        entry.firstTokenAt = now;
    const bool ended = entry.tokensProduced == entry.answerTokens;
    if (ended)
        endJob(record, EngineEnd::Whole, now);
    serveStreams(record, ended);
}

void EngineModel::serveStreams(size_t record, bool ended)
{
    auto& job = m_jobs[record];
    auto& entry = m_records[record];
    std::vector<uint64_t> closed;
    for (auto& stream : job.streams) {
        bool broken = false;
        for (; stream.next < entry.tokensProduced && !broken; ++stream.next) {
            // Only one stream of each request breaks, so that a resumed stream can complete.
            const bool reset = m_faults.resetAfterTokens && stream.sent >= *m_faults.resetAfterTokens
                && entry.brokenStreams == 0;
            broken = reset || (m_faults.dropAnswers && stream.next + 1 == entry.answerTokens);
            if (broken)
                break;
            ++stream.sent;
            m_outputs.push_back({ .stream = stream.number, .index = stream.next, .record = record });
        }
        if (!broken && !ended)
            continue;
        broken = broken || m_faults.dropAnswers;
        entry.brokenStreams += broken ? 1 : 0;
        m_outputs.push_back({ .stream = stream.number,
            .kind = broken ? EngineOutput::Kind::Break : EngineOutput::Kind::End,
            .index = entry.tokensProduced,
            .record = record });
        closed.push_back(stream.number);
    }
    std::erase_if(job.streams, [&](const Stream& it) { return std::ranges::count(closed, it.number) > 0; });
}

void EngineModel::endJob(size_t record, EngineEnd end, TimePoint now)
{
    m_records[record].end = end;
    m_records[record].endedAt = now;
    std::erase(m_running, record);
    std::erase(m_waiting, record);
    m_finished.push_back(record);
    evictFinished();
    recordLoad(now);
    if (m_running.empty() && m_waiting.empty())
        m_stepEnds.reset();
}

void EngineModel::evictFinished()
{
    while (m_finished.size() > m_options.maxRetainedFinished) {
        m_jobs.erase(m_finished.front());
        m_finished.pop_front();
    }
}

std::optional<size_t> EngineModel::newestRecord(const RequestId& id) const
{
    for (auto position = m_records.size(); position > 0; --position) {
        if (m_records[position - 1].id == id)
            return position - 1;
    }
    return std::nullopt;
}

} // namespace lentilbay::fakes
