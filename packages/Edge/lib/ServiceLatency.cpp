// Expected times of requests.
#include "lentilbay/Edge/ServiceLatency.h"

namespace lentilbay::edge {

Duration ServiceLatency::timeToFirstEvent(const Work& work) const
{
    if (!work.isStream)
        return fromSeconds(nonStreamSeconds);
    return fromSeconds(firstEventSeconds + work.promptTokens * secondsPerPromptToken);
}

Duration ServiceLatency::totalTime(const Work& work) const
{
    return timeToFirstEvent(work) + fromSeconds(work.answerTokens * secondsPerAnswerToken);
}

} // namespace lentilbay::edge
