#pragma once

#include <string>
#include <vector>

namespace lugfork {

/** @return rows as aligned columns; the first row is the heading. */
std::string formatTable(const std::vector<std::vector<std::string>>& rows);

}  // namespace lugfork
