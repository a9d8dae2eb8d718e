#include <algorithm>
#include <cstdint>
#include <vector>

#include "cowslipmast/config_diff.h"
#include "src/core/strings.h"

namespace cowslipmast {

namespace {

// Maximum size of the table for the longest common subsequence; 1,000 by 1,000
// changed lines take 4 MB. Larger differences are shown as one removed and one
// added block.
constexpr size_t kMaxTableCells = 1'000'000;

using Lines = std::vector<std::string_view>;

struct DiffLine {
  char mark = ' ';  // ' ', '-' or '+'
  std::string_view text;
};

Lines SplitLines(std::string_view text) {
  Lines lines = Split(text, '\n');
  // A final line break does not begin another line.
  if (lines.back().empty())
    lines.pop_back();
  return lines;
}

void AppendLines(const Lines& lines,
                 size_t begin,
                 size_t end,
                 char mark,
                 std::vector<DiffLine>& diff) {
  for (size_t i = begin; i < end; ++i)
    diff.push_back({mark, lines[i]});
}

// Compares the lines between the common head and the common tail.
void DiffMiddle(const Lines& before,
                const Lines& after,
                std::vector<DiffLine>& diff) {
  const size_t width = after.size() + 1;
  if ((before.size() + 1) * width > kMaxTableCells) {
    AppendLines(before, 0, before.size(), '-', diff);
    AppendLines(after, 0, after.size(), '+', diff);
    return;
  }
  // common[i * width + j] is the length of the longest common subsequence of
  // before[i...] and after[j...].
  std::vector<uint32_t> common((before.size() + 1) * width);
  for (size_t i = before.size(); i-- > 0;) {
    for (size_t j = after.size(); j-- > 0;) {
      common[i * width + j] = before[i] == after[j]
                                  ? common[(i + 1) * width + j + 1] + 1
                                  : std::max(common[(i + 1) * width + j],
                                             common[i * width + j + 1]);
    }
  }
  size_t i = 0;
  size_t j = 0;
  while (i < before.size() && j < after.size()) {
    if (before[i] == after[j]) {
      diff.push_back({' ', before[i++]});
      ++j;
    } else if (common[(i + 1) * width + j] >= common[i * width + j + 1]) {
      diff.push_back({'-', before[i++]});
    } else {
      diff.push_back({'+', after[j++]});
    }
  }
  AppendLines(before, i, before.size(), '-', diff);
  AppendLines(after, j, after.size(), '+', diff);
}

std::vector<DiffLine> DiffAll(const Lines& before, const Lines& after) {
  const size_t shorter = std::min(before.size(), after.size());
  size_t head = 0;
  while (head < shorter && before[head] == after[head])
    ++head;
  size_t tail = 0;
  while (tail < shorter - head &&
         before[before.size() - 1 - tail] == after[after.size() - 1 - tail])
    ++tail;
  std::vector<DiffLine> diff;
  AppendLines(before, 0, head, ' ', diff);
  const auto begin = static_cast<ptrdiff_t>(head);
  const auto end = static_cast<ptrdiff_t>(tail);
  DiffMiddle(Lines(before.begin() + begin, before.end() - end),
             Lines(after.begin() + begin, after.end() - end), diff);
  AppendLines(before, before.size() - tail, before.size(), ' ', diff);
  return diff;
}

// Marks the changed lines and the lines at most `context` lines from one.
std::vector<bool> ShownLines(const std::vector<DiffLine>& diff,
                             size_t context) {
  std::vector<bool> shown(diff.size());
  for (size_t i = 0; i < diff.size(); ++i) {
    if (diff[i].mark == ' ')
      continue;
    const size_t begin = i - std::min(i, context);
    const size_t end = std::min(diff.size(), i + context + 1);
    std::fill(shown.begin() + static_cast<ptrdiff_t>(begin),
              shown.begin() + static_cast<ptrdiff_t>(end), true);
  }
  return shown;
}

}  // namespace

std::string DiffLines(std::string_view before,
                      std::string_view after,
                      size_t context) {
  const auto diff = DiffAll(SplitLines(before), SplitLines(after));
  const auto shown = ShownLines(diff, context);
  std::string text;
  for (size_t i = 0; i < diff.size(); ++i) {
    if (!shown[i])
      continue;
    if (i > 0 && !shown[i - 1] && !text.empty())
      text += "...\n";
    text += diff[i].mark;
    text += diff[i].text;
    text += '\n';
  }
  return text;
}

}  // namespace cowslipmast
