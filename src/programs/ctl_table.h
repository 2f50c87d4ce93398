#pragma once

#include <string>
#include <vector>

namespace lugfork {

/** @return the rows as text with aligned columns; the first row holds the headings. */
std::string formatTable(const std::vector<std::vector<std::string>>& rows);

}  // namespace lugfork
