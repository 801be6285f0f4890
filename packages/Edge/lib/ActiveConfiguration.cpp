// Which of several documents is in force.
#include "lentilbay/Edge/ActiveConfiguration.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <utility>

namespace lentilbay::edge {
namespace {

/// Within this time after the store has come back from an older copy, the operator writes again what it has
/// lost. Until then, an answer of the store may lack the withdrawal of a key.
constexpr Duration rewriteTime = std::chrono::milliseconds(2100);

} // namespace

ActiveConfiguration::Outcome ActiveConfiguration::replace(const Document& document, uint64_t rowEra)
{
    m_text = document.text;
    m_hash = hashOf(m_text);
    m_version = document.version;
    m_rowEra = rowEra;
    m_isRowUndecided = m_isNewestInvalid = false;
    return Outcome::InForce;
}

ActiveConfiguration::Outcome ActiveConfiguration::applyRow(const Document& document, const Row& row)
{
    const auto former = std::exchange(m_newestRow, std::max(m_newestRow, row.version));
    m_isNewestInvalid = m_isRowInvalid = !document.version;
    if (!document.version)
        return Outcome::Invalid;
    m_isRowUndecided = false;
    if (document.version < m_version)
        return Outcome::Older;
    if (document.version > m_version)
        return replace(document, row.version.era);
    if (document.text == m_text) {
        m_rowEra = row.version.era;
        return Outcome::Same;
    }
    if (row.isSuperseded)
        return Outcome::Kept;
    // What follows another row of the same era is not from the copy with which the era has begun. The same
    // row may be, also if it is read again as a change.
    const bool wasWrittenLater = former < row.version
        && (row.version.era <= m_rowEra || !row.isFromSnapshot || former.era == row.version.era);
    if (wasWrittenLater)
        return replace(document, row.version.era);
    m_isRowUndecided = true;
    return Outcome::Kept;
}

ActiveConfiguration::Outcome ActiveConfiguration::applyPeerDocument(
    const Document& document, const std::optional<ConfigurationView>& view, std::optional<StoreVersion> own)
{
    if (!document.version) {
        m_isNewestInvalid = true;
        return Outcome::Invalid;
    }
    if (document.version < m_version)
        return Outcome::Older;
    if (document.version > m_version)
        return replace(document, view ? view->changed.era : own.value_or(StoreVersion {}).era);
    if (document.text == m_text)
        return confirmedByPeer(view, own);
    if (!view || view->covered < own || view->covered.era > m_rowEra)
        return Outcome::Kept;
    return replace(document, view->changed.era);
}

ActiveConfiguration::Outcome ActiveConfiguration::applySameDocument(
    uint64_t askedHash, const std::optional<ConfigurationView>& view, std::optional<StoreVersion> own)
{
    return askedHash == m_hash ? confirmedByPeer(view, own) : Outcome::Kept;
}

ActiveConfiguration::Outcome ActiveConfiguration::confirmedByPeer(
    const std::optional<ConfigurationView>& view, std::optional<StoreVersion> own)
{
    // The peer has read the table further, and found this document in it.
    if (view && view->covered >= own && view->covered > m_newestRow)
        m_isRowUndecided = false;
    return Outcome::Same;
}

void ActiveConfiguration::enterEra(TimePoint now) { m_completeFrom = now + rewriteTime; }

bool ActiveConfiguration::mayConfirm(TimePoint at, uint64_t newestKnown) const
{
    return m_version.value_or(0) >= newestKnown && !m_isRowUndecided && at >= m_completeFrom;
}

} // namespace lentilbay::edge
