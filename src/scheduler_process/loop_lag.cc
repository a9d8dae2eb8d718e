#include "src/scheduler_process/loop_lag.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "src/scheduler_process/clock.h"
#include "src/scheduler_process/spawn.h"

namespace cowslipmast::sched {

namespace {

using std::chrono::milliseconds;

constexpr Duration kSampleInterval = milliseconds(200);
constexpr Duration kSampleRetention = milliseconds(2000);
// Half of the time that a request to a worker may take.
constexpr Duration kLateLoop = milliseconds(250);
constexpr int kFailuresWhileLate = 3;

struct Sample {
  TimePoint at;
  Duration lag;
};

}  // namespace

struct LoopLag::Impl : std::enable_shared_from_this<LoopLag::Impl> {
  asio::awaitable<void> Run();

  std::deque<Sample> samples;
  bool stopped = false;
};

asio::awaitable<void> LoopLag::Impl::Run() {
  const auto self = shared_from_this();
  while (!stopped) {
    const TimePoint before = MonotonicNow();
    co_await Sleep(kSampleInterval);
    const TimePoint now = MonotonicNow();
    samples.push_back({now, now - before - kSampleInterval});
    while (now - samples.front().at > kSampleRetention)
      samples.pop_front();
  }
}

LoopLag::LoopLag(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

LoopLag::~LoopLag() {
  m_impl->stopped = true;
}

std::shared_ptr<LoopLag> LoopLag::Make(asio::io_context& io) {
  auto impl = std::make_shared<Impl>();
  Spawn(io, "loop_lag", impl->Run());
  return std::shared_ptr<LoopLag>(new LoopLag(std::move(impl)));
}

Duration LoopLag::Recent() const {
  Duration longest(0);
  for (const Sample& sample : m_impl->samples)
    longest = std::max(longest, sample.lag);
  return longest;
}

bool IsSilent(int failures_in_row, Duration own_lag) {
  return failures_in_row >= (own_lag >= kLateLoop ? kFailuresWhileLate : 1);
}

}  // namespace cowslipmast::sched
