// Errors as values: Boost.LEAF results that carry a numbered code and a description.
#pragma once

#include "lentilbay/Support/ResultCode.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <compare>
#include <string>
#include <utility>
#include <variant>

namespace lentilbay {

/// The reason of a failure: a result code and a description of the specific case.
struct Failure {
    ResultCode code = ResultCode::InternalError;
    std::string detail;

    auto operator<=>(const Failure&) const = default;
};

template <class T> using Result = boost::leaf::result<T>;

/// Creates the error that a function returns as its Result<T>.
inline boost::leaf::error_id fail(ResultCode code, std::string detail)
{
    return boost::leaf::new_error(Failure { .code = code, .detail = std::move(detail) });
}

/// Calls a function that returns Result<T>, and returns its value or its Failure.
template <class T, class F> std::variant<T, Failure> outcomeOf(F&& function)
{
    using Outcome = std::variant<T, Failure>;
    return boost::leaf::try_handle_all(
        [&]() -> Result<Outcome> {
            BOOST_LEAF_AUTO(value, function());
            return Outcome { std::move(value) };
        },
        [](const Failure& failure) -> Outcome { return failure; },
        []() -> Outcome { return Failure { .code = ResultCode::InternalError, .detail = "unnamed error" }; });
}

} // namespace lentilbay
