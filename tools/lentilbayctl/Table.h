// Prints rows in aligned columns.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lentilbay {

using TableCells = std::vector<std::string>;

/// Lines of a table: each column as wide as its widest cell, two spaces between, none at the end of a line.
std::string printTable(const TableCells& head, const std::vector<TableCells>& rows);

} // namespace lentilbay
