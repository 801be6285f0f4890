// Column widths and padding of tables.
#include "Table.h"

#include <algorithm>

namespace lentilbay {
namespace {

constexpr size_t columnGap = 2;

void appendRow(std::string& out, const TableCells& row, const std::vector<size_t>& widths)
{
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
        line += row[i];
        line.append(widths[i] - row[i].size() + columnGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out += line;
    out += '\n';
}

} // namespace

std::string printTable(const TableCells& head, const std::vector<TableCells>& rows)
{
    std::vector<size_t> widths;
    for (const auto& it : head)
        widths.push_back(it.size());
    for (const auto& row : rows) {
        for (size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string out;
    appendRow(out, head, widths);
    for (const auto& row : rows)
        appendRow(out, row, widths);
    return out;
}

} // namespace lentilbay
