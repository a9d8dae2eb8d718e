#ifndef COWSLIPMAST_SRC_CONFIG_EDIT_DISTANCE_H_
#define COWSLIPMAST_SRC_CONFIG_EDIT_DISTANCE_H_

#include <cstddef>
#include <span>
#include <string_view>

namespace cowslipmast {

/** Levenshtein distance: the least number of characters to insert, remove or
 * replace. */
size_t EditDistance(std::string_view a, std::string_view b);

/** Returns the most similar name, or an empty text if none is similar. */
std::string_view NearestName(std::string_view name,
                             std::span<const std::string_view> known);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_CONFIG_EDIT_DISTANCE_H_
