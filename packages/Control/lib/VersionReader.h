// Reads older versions from the platform, for operators. Private to Control.
#pragma once

#include "ConfigurationContext.h"
#include "ConfigurationRows.h"

namespace lentilbay {

class VersionReader {
public:
    explicit VersionReader(ConfigurationContext& context)
        : m_context(context)
    {
    }

    /// The versions from the newest downwards; nothing where the platform does not answer.
    void readHistory(uint64_t newest, uint64_t limit, HistoryCallback callback);
    /// Nothing where the version does not exist or the platform does not answer.
    void readDocument(uint64_t version, DocumentCallback callback);

private:
    struct Reading;

    void start(const std::shared_ptr<Reading>& reading);
    void apply(const std::shared_ptr<Reading>& reading, size_t next);
    void fetch(const std::shared_ptr<Reading>& reading, size_t next);

    ConfigurationContext& m_context;
};

} // namespace lentilbay
