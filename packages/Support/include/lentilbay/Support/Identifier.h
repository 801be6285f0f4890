// Strongly typed identifiers: an identifier of one kind cannot be passed where another kind is expected.
#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace lentilbay {

/// A string whose type depends on the kind of thing that it names.
template <class Tag> class Identifier {
public:
    Identifier() = default;
    explicit Identifier(std::string text)
        : m_text(std::move(text))
    {
    }

    const std::string& text() const { return m_text; }
    bool empty() const { return m_text.empty(); }

    auto operator<=>(const Identifier&) const = default;

    /// Serialisation by cereal.
    template <class Archive> void serialize(Archive& archive) { archive(m_text); }

private:
    std::string m_text;
};

using DaemonId = Identifier<struct DaemonTag>;
using EndpointId = Identifier<struct EndpointTag>;
using OrganisationId = Identifier<struct OrganisationTag>;
using RegionId = Identifier<struct RegionTag>;
using DataCentreId = Identifier<struct DataCentreTag>;
using RequestId = Identifier<struct RequestTag>;
using ServiceId = Identifier<struct ServiceTag>;
using TierId = Identifier<struct TierTag>;
using ModelId = Identifier<struct ModelTag>;

} // namespace lentilbay

template <class Tag> struct std::hash<lentilbay::Identifier<Tag>> {
    size_t operator()(const lentilbay::Identifier<Tag>& id) const
    {
        return std::hash<std::string> {}(id.text());
    }
};
