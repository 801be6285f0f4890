// Formats rows in aligned columns.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lentilbay {

using TableCells = std::vector<std::string>;

/// Returns the lines of a table. Each column is as wide as its widest cell, columns are separated by two
/// spaces, and lines have no trailing spaces.
std::string printTable(const TableCells& head, const std::vector<TableCells>& rows);

} // namespace lentilbay
