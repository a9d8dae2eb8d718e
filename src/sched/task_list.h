#ifndef COWSLIPMAST_SRC_SCHED_TASK_LIST_H_
#define COWSLIPMAST_SRC_SCHED_TASK_LIST_H_

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <memory>
#include <vector>

namespace cowslipmast::sched {

struct Task;

/** The tasks of a step. A task that nothing has happened to alone takes some
 * bytes: it has the values of all such tasks. So does one that is done. A short
 * submission may name thousands of tasks that never start. */
class TaskList {
 public:
  class ConstIterator {
   public:
    using iterator_category = std::forward_iterator_tag;
    using value_type = Task;
    using difference_type = std::ptrdiff_t;
    using pointer = const Task*;
    using reference = const Task&;

    ConstIterator() = default;
    ConstIterator(const TaskList* list, size_t index)
        : m_list(list), m_index(index) {}
    reference operator*() const { return (*m_list)[m_index]; }
    pointer operator->() const { return &(*m_list)[m_index]; }
    ConstIterator& operator++() {
      ++m_index;
      return *this;
    }
    ConstIterator operator++(int) {
      ConstIterator before = *this;
      ++m_index;
      return before;
    }
    bool operator==(const ConstIterator&) const = default;

   private:
    const TaskList* m_list = nullptr;
    size_t m_index = 0;
  };

  TaskList();
  ~TaskList();
  TaskList(TaskList&&) noexcept;
  TaskList& operator=(TaskList&&) noexcept;

  /** Must be called once, before other calls. */
  void Create(size_t count);
  size_t size() const { return m_own.size(); }
  bool empty() const { return m_own.empty(); }

  const Task& operator[](size_t index) const;
  /** For a change; the task then has values of its own. */
  Task& operator[](size_t index);
  ConstIterator begin() const { return {this, 0}; }
  ConstIterator end() const { return {this, size()}; }

  /** Drops all values of the task but that it is done. Ends references to it.
   */
  void SetDone(size_t index);

  /** Calls `change` for each task with values of its own, and once for all
   * others that are not done. */
  template <typename Change>
  void ChangeAll(Change change) {
    if (m_common)
      change(*m_common);
    for (const std::unique_ptr<Task>& task : m_own) {
      if (task)
        change(*task);
    }
  }
  /** Calls `visit` with the index of each task with values of its own: all that
   * have a worker are among them. */
  template <typename Visit>
  void VisitOwn(Visit visit) const {
    for (size_t i = 0; i < m_own.size(); ++i) {
      if (m_own[i])
        visit(static_cast<uint32_t>(i));
    }
  }

 private:
  std::unique_ptr<Task> m_common;            // null if all have their own
  std::vector<std::unique_ptr<Task>> m_own;  // null for the common values
  std::vector<bool> m_is_done;               // of those without own values
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_TASK_LIST_H_
