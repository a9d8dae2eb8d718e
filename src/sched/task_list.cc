#include "src/sched/task_list.h"

#include "src/sched/state.h"

namespace cowslipmast::sched {

namespace {

const Task& DoneTask() {
  static const Task* const task = [] {
    auto* done = new Task;
    done->phase = SchedulingPhase::kDone;
    return done;
  }();
  return *task;
}

}  // namespace

TaskList::TaskList() = default;
TaskList::~TaskList() = default;
TaskList::TaskList(TaskList&&) noexcept = default;
TaskList& TaskList::operator=(TaskList&&) noexcept = default;

void TaskList::Create(size_t count) {
  m_own.resize(count);
  m_is_done.resize(count);
  // A single task shares its values with no other one.
  if (count == 1)
    m_own[0] = std::make_unique<Task>();
  else
    m_common = std::make_unique<Task>();
}

const Task& TaskList::operator[](size_t index) const {
  if (m_own[index])
    return *m_own[index];
  return m_is_done[index] ? DoneTask() : *m_common;
}

Task& TaskList::operator[](size_t index) {
  if (!m_own[index])
    m_own[index] =
        std::make_unique<Task>(m_is_done[index] ? DoneTask() : *m_common);
  return *m_own[index];
}

void TaskList::SetDone(size_t index) {
  m_own[index].reset();
  m_is_done[index] = true;
}

}  // namespace cowslipmast::sched
