#ifndef COWSLIPMAST_IDS_H_
#define COWSLIPMAST_IDS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace cowslipmast {

/** Strongly typed name. */
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : m_value(std::move(value)) {}

  const std::string& value() const { return m_value; }
  bool empty() const { return m_value.empty(); }
  auto operator<=>(const Id&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const Id& id) {
    return H::combine(std::move(state), id.m_value);
  }

 private:
  std::string m_value;
};

/** Strongly typed unsigned number. */
template <typename Tag>
class Number {
 public:
  constexpr Number() = default;
  constexpr explicit Number(uint64_t value) : m_value(value) {}

  constexpr uint64_t value() const { return m_value; }
  constexpr Number Next() const { return Number(m_value + 1); }
  constexpr auto operator<=>(const Number&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const Number& number) {
    return H::combine(std::move(state), number.m_value);
  }

 private:
  uint64_t m_value = 0;
};

using DataCentreId = Id<struct DataCentreTag>;
using JobId = Id<struct JobTag>;
using ProcessId = Id<struct ProcessTag>;
using RegionId = Id<struct RegionTag>;
using RequestId = Id<struct RequestTag>;
using ServiceId = Id<struct ServiceTag>;
using StreamId = Id<struct StreamTag>;
using TargetId = Id<struct TargetTag>;
using TaskKind = Id<struct TaskKindTag>;
using TeamId = Id<struct TeamTag>;
using VmId = Id<struct VmTag>;
using WorkerClassId = Id<struct WorkerClassTag>;

/** Number of an attempt to run a task; the first is 1. */
using Attempt = Number<struct AttemptTag>;
/** Version of the operators' configuration; 0 if none was published. */
using ConfigVersion = Number<struct ConfigVersionTag>;
/** Fencing token of an owner; 0 if the resource was never owned. */
using Epoch = Number<struct EpochTag>;
/** Position of an entry in a log stream; the first is 0. */
using LogOffset = Number<struct LogOffsetTag>;

/** Identity of a log producer: 128 random bits, new for each process start. */
struct ProducerId {
  uint64_t high = 0;
  uint64_t low = 0;

  auto operator<=>(const ProducerId&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const ProducerId& id) {
    return H::combine(std::move(state), id.high, id.low);
  }
};

/** Number of a batch of one producer in one stream; the first is 1. */
using BatchSequence = Number<struct BatchSequenceTag>;
/** Version of one region's member table for one role. */
using MembershipVersion = Number<struct MembershipVersionTag>;

/** One task of a job; `index` counts from 0. */
struct TaskId {
  JobId job;
  uint32_t index = 0;

  auto operator<=>(const TaskId&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const TaskId& id) {
    return H::combine(std::move(state), id.job, id.index);
  }
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_IDS_H_
