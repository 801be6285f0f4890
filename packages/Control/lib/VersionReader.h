// Reads older versions of the configuration, for operators. Private to Control.
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

    /// Reads the versions in descending order. The callback receives std::nullopt if the platform does not
    /// answer.
    void readHistory(uint64_t newest, uint64_t limit, HistoryCallback callback);
    /// The callback receives std::nullopt if the version does not exist or the platform does not answer.
    void readDocument(uint64_t version, DocumentCallback callback);

private:
    struct PendingRead;

    void start(const std::shared_ptr<PendingRead>& pending);
    void applyDifferences(const std::shared_ptr<PendingRead>& pending, size_t next);
    void fetchDocument(const std::shared_ptr<PendingRead>& pending, size_t next);

    ConfigurationContext& m_context;
};

} // namespace lentilbay
