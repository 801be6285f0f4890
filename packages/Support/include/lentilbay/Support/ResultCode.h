// Numbered result codes, by which callers, operators and tests identify an outcome.
//
// Each code has a fixed number, an HTTP status and a meaning. ResultCode.def is the single source of the
// enum, the table and docs/ResultCodes.md.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lentilbay {

enum class ResultCode : uint16_t {
#define RESULT_CODE(number, name, status, meaning) name = number,
#include "lentilbay/Support/ResultCode.def"
#undef RESULT_CODE
};

/// One row of the table of result codes.
struct ResultCodeRow {
    ResultCode code;
    std::string_view name;
    int httpStatus;
    std::string_view meaning;
};

/// All rows in the order of their numbers.
const std::vector<ResultCodeRow>& resultCodeTable();

/// The row of a code.
const ResultCodeRow& rowOf(ResultCode code);

/// "LB-1001", the form that callers and operators see.
std::string printed(ResultCode code);

} // namespace lentilbay
