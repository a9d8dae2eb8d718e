#ifndef COWSLIPMAST_SRC_SCHEDULER_JOB_INTAKE_H_
#define COWSLIPMAST_SRC_SCHEDULER_JOB_INTAKE_H_

#include <memory>
#include <string>

#include "cowslipmast/sched/job.h"
#include "src/net/asio.h"
#include "src/scheduler/ports.h"

namespace cowslipmast::sched {

enum class IntakeResult {
  kStored,
  kRefused,  // it is not stored and never will be
  kUnknown,  // it may be stored, or may be later
};

/** Key prefixes in the topic of jobs. */
inline constexpr std::string_view kJobKeyPrefix = "j/";
inline constexpr std::string_view kCancelKeyPrefix = "x/";

/** Stores accepted jobs and cancellations, many in one append. */
class JobIntake {
 public:
  static std::shared_ptr<JobIntake> Make(asio::io_context& io,
                                         const StorePort& store);
  ~JobIntake();

  /** Stores a record; waits until the store has answered. */
  asio::awaitable<IntakeResult> Store(KeyedRecord record);

  /** False while the store has not answered the latest appends, so that a new
   * one would most likely wait in vain. */
  bool IsStoreAnswering() const;

 private:
  struct Impl;
  explicit JobIntake(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_JOB_INTAKE_H_
