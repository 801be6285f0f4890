// The table of result codes, built from ResultCode.def.
#include "lentilbay/Support/ResultCode.h"

#include <algorithm>
#include <cassert>

namespace lentilbay {

const std::vector<ResultCodeRow>& resultCodeTable()
{
    static const std::vector<ResultCodeRow> table {
#define RESULT_CODE(number, name, status, meaning) { ResultCode::name, #name, status, meaning },
#include "lentilbay/Support/ResultCode.def"
#undef RESULT_CODE
    };
    return table;
}

const ResultCodeRow& rowOf(ResultCode code)
{
    const auto& table = resultCodeTable();
    auto it = std::find_if(table.begin(), table.end(), [&](const auto& row) { return row.code == code; });
    assert(it != table.end() && "every result code has a row");
    return *it;
}

std::string printed(ResultCode code) { return "LB-" + std::to_string(static_cast<unsigned>(code)); }

} // namespace lentilbay
