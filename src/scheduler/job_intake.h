#ifndef COWSLIPMAST_SRC_SCHEDULER_JOB_INTAKE_H_
#define COWSLIPMAST_SRC_SCHEDULER_JOB_INTAKE_H_

#include <memory>
#include <optional>
#include <string>

#include "cowslipmast/sched/job.h"
#include "src/net/asio.h"
#include "src/scheduler/ports.h"
#include "src/scheduler/signal.h"

namespace cowslipmast::sched {

enum class IntakeResult {
  kStored,
  kRefused,  // it is not stored and never will be
  kUnknown,  // it may be stored, or may be later
};

/** Key prefixes in the topic of jobs. */
inline constexpr std::string_view kJobKeyPrefix = "j/";
inline constexpr std::string_view kCancelKeyPrefix = "x/";

/** A record on its way to the store. */
struct IntakeTicket {
  IntakeTicket(asio::io_context& io, KeyedRecord stored)
      : record(std::move(stored)), done(io) {}

  KeyedRecord record;
  WakeSignal done;
  std::optional<IntakeResult> result;  // once the store has answered
};

/** Waits for the store's answer, for `limit` at the longest. */
asio::awaitable<std::optional<IntakeResult>> AwaitTicket(
    std::shared_ptr<IntakeTicket> ticket,
    Duration limit);

/** Stores accepted jobs and cancellations, many in one append. */
class JobIntake {
 public:
  static std::shared_ptr<JobIntake> Make(asio::io_context& io,
                                         const StorePort& store);
  ~JobIntake();

  /** Hands a record to the next append. */
  std::shared_ptr<IntakeTicket> Store(KeyedRecord record);

  /** False after a failed append, while the next one would most likely wait in
   * vain. */
  bool IsStoreAnswering() const;

  /** False after an append that took long, or while one does. The store takes
   * the appends of all processes one after the other, so that fewer and larger
   * ones are quicker then. */
  bool IsStoreQuick() const;

 private:
  struct Impl;
  explicit JobIntake(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_JOB_INTAKE_H_
