// How new a fact from the platform's store is.
#pragma once

#include <compare>
#include <cstdint>

namespace lentilbay {

/// A position in the history of the store. The store may come back from an older copy of itself and then
/// gives the same numbers out again, so numbers are comparable only within an era.
struct StoreVersion {
    /// Rises by one each time the store comes back from an older copy; 0 if the store states none.
    uint64_t era = 0;
    /// Increases with each transaction of the era.
    uint64_t number = 0;

    auto operator<=>(const StoreVersion&) const = default;
};

} // namespace lentilbay
