#include "programs/ctl_table.h"

#include <algorithm>

namespace lugfork {

std::string formatTable(const std::vector<std::vector<std::string>>& rows) {
  constexpr std::size_t kGap = 2;
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
      line += row[column];
      if (column + 1 < row.size()) {
        line.append(widths[column] - row[column].size() + kGap, ' ');
      }
    }
    text += line + '\n';
  }
  return text;
}

}  // namespace lugfork
