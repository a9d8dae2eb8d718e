#include "src/config/edit_distance.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace cowslipmast {

namespace {

// Longer names are not compared: the cost grows with the product of the two
// lengths.
constexpr size_t kMaxComparedLength = 64;

}  // namespace

size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (size_t i = 0; i < a.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i + 1;
    for (size_t j = 0; j < b.size(); ++j) {
      const size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, diagonal + 1, row[j] + 1});
    }
  }
  return row[b.size()];
}

std::string_view NearestName(std::string_view name,
                             std::span<const std::string_view> known) {
  if (name.size() > kMaxComparedLength)
    return {};
  std::string_view nearest;
  // A name that differs in more than half of its characters is not a
  // misspelling.
  size_t best = name.size() / 2 + 1;
  for (const std::string_view candidate : known) {
    const size_t distance = EditDistance(name, candidate);
    if (distance >= best)
      continue;
    best = distance;
    nearest = candidate;
  }
  return nearest;
}

}  // namespace cowslipmast
