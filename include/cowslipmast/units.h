#ifndef COWSLIPMAST_UNITS_H_
#define COWSLIPMAST_UNITS_H_

#include <chrono>
#include <compare>
#include <cstdint>

namespace cowslipmast {

/** Duration in microseconds. */
using Duration = std::chrono::microseconds;

/** Tag of the monotonic clock that the caller of the library supplies. */
struct MonotonicClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
};

/** Time on the monotonic clock of one process. */
using TimePoint = MonotonicClock::time_point;

/** Tag of the wall clock, which VMs share within `kMaxClockDifference`. */
struct WallClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<WallClock>;
};

/** Wall-clock time in microseconds since 1970-01-01 UTC. */
using WallTime = WallClock::time_point;

/** Maximum difference between the wall clocks of two VMs. */
inline constexpr Duration kMaxClockDifference = std::chrono::milliseconds(200);

/** Strongly typed signed amount of one unit. */
template <typename Unit>
class Quantity {
 public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(int64_t count) : m_count(count) {}

  constexpr int64_t count() const { return m_count; }
  constexpr auto operator<=>(const Quantity&) const = default;

  constexpr Quantity& operator+=(Quantity other) {
    m_count += other.m_count;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity other) {
    m_count -= other.m_count;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity a, Quantity b) { return a += b; }
  friend constexpr Quantity operator-(Quantity a, Quantity b) { return a -= b; }
  friend constexpr Quantity operator*(Quantity a, int64_t factor) {
    return Quantity(a.m_count * factor);
  }

 private:
  int64_t m_count = 0;
};

/** Processor time; 1000 is one core. */
using MilliCores = Quantity<struct MilliCoresUnit>;
/** Memory, in units of 2^20 bytes. */
using Mebibytes = Quantity<struct MebibytesUnit>;
/** Number of accelerators. */
using Accelerators = Quantity<struct AcceleratorsUnit>;
/** Number of requests that a target serves concurrently. */
using Slots = Quantity<struct SlotsUnit>;

/** Resources that a task requires or a VM provides. */
struct Resources {
  MilliCores cpu;
  Mebibytes memory;
  Accelerators accelerators;

  bool operator==(const Resources&) const = default;

  constexpr Resources& operator+=(const Resources& other) {
    cpu += other.cpu;
    memory += other.memory;
    accelerators += other.accelerators;
    return *this;
  }
  constexpr Resources& operator-=(const Resources& other) {
    cpu -= other.cpu;
    memory -= other.memory;
    accelerators -= other.accelerators;
    return *this;
  }
  friend constexpr Resources operator+(Resources a, const Resources& b) {
    return a += b;
  }
  friend constexpr Resources operator-(Resources a, const Resources& b) {
    return a -= b;
  }
};

/** True if `need` fits into `available` in every dimension. */
constexpr bool Fits(const Resources& need, const Resources& available) {
  return need.cpu <= available.cpu && need.memory <= available.memory &&
         need.accelerators <= available.accelerators;
}

}  // namespace cowslipmast

#endif  // COWSLIPMAST_UNITS_H_
