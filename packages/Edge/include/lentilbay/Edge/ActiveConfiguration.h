// Decides which document of the configuration is in force, and when it may be confirmed as the newest.
//
// The newest version counts. Of two documents of the same version, the one that was written later counts,
// which the versions of the store's rows show within one era. In a later era, the row may be from an older
// copy of the store, also from one of several eras ago: unless it was written in that era, it neither
// replaces the one in force nor is that one confirmed, since either of them may contain a key that the other
// has withdrawn.
#pragma once

#include "lentilbay/Edge/ConfigurationViews.h"
#include "lentilbay/Model/StoreVersion.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lentilbay::edge {

class ActiveConfiguration {
public:
    enum class Outcome : uint8_t {
        /// The document cannot be decoded.
        Invalid,
        /// The configuration in force is newer and contains its changes.
        Older,
        Same,
        /// Another document of the same version stays in force.
        Kept,
        InForce,
    };

    /// A document that was read.
    struct Document {
        std::string text;
        /// std::nullopt if the document cannot be decoded.
        std::optional<uint64_t> version;
    };
    struct Row {
        StoreVersion version;
        /// ConfigurationViews::isSuperseded() of the version.
        bool isSuperseded = false;
        /// Whether it was in the store when this daemon began to read the present era, or may have been.
        bool isFromSnapshot = false;
    };
    /// Applies the store's row.
    Outcome applyRow(const Document& document, const Row& row);
    /// Applies a peer's document with its view of the store's present era, if it stated one.
    /// @param own up to which version this daemon knows the table
    Outcome applyPeerDocument(const Document& document, const std::optional<ConfigurationView>& view,
        std::optional<StoreVersion> own);
    /// Applies an answer without a document to a call that stated `askedHash`: the peer has the document that
    /// was in force here when the call began.
    Outcome applySameDocument(
        uint64_t askedHash, const std::optional<ConfigurationView>& view, std::optional<StoreVersion> own);
    /// Records that the store has come back from an older copy of itself; at a start in a later era than the
    /// first one, that it may just have.
    void enterEra(TimePoint now);

    /// Whether the configuration in force may be confirmed as of `at`. Not while a peer is known to have a
    /// newer version, nor as of a time at which the store may not yet have had again what it had lost.
    bool mayConfirm(TimePoint at, uint64_t newestKnown) const;
    /// Whether the configuration in force contains the newest row that was read of the store, so that this
    /// daemon's view of the table is one of the configuration.
    bool containsRow() const { return !m_isRowInvalid && !m_isRowUndecided; }
    /// Whether the newest document that was read could not be decoded.
    bool isNewestInvalid() const { return m_isNewestInvalid; }
    const std::string& text() const { return m_text; }
    /// hashOf() the text.
    uint64_t hash() const { return m_hash; }

private:
    Outcome replace(const Document& document, uint64_t rowEra);
    Outcome confirmedByPeer(const std::optional<ConfigurationView>& view, std::optional<StoreVersion> own);

    std::string m_text;
    uint64_t m_hash = 0;
    std::optional<uint64_t> m_version;
    /// The era of the row with the configuration in force, as far as known.
    uint64_t m_rowEra = 0;
    /// The newest row that was read of the store.
    StoreVersion m_newestRow;
    bool m_isRowInvalid = false;
    /// The newest row may be older than the configuration in force, or newer.
    bool m_isRowUndecided = false;
    bool m_isNewestInvalid = false;
    /// From then on the store has again what it had lost.
    TimePoint m_completeFrom {};
};

} // namespace lentilbay::edge
