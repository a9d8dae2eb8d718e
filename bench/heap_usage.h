#ifndef COWSLIPMAST_BENCH_HEAP_USAGE_H_
#define COWSLIPMAST_BENCH_HEAP_USAGE_H_

#include <malloc.h>

#include <cstddef>

namespace cowslipmast {

/** Returns the heap bytes in use, including the allocator's headers. */
inline size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/** Returns the heap bytes that a copy of `value` takes. */
template <typename Value>
size_t HeapBytesOfCopy(const Value& value) {
  const size_t before = HeapBytes();
  const Value copy = value;
  const size_t after = HeapBytes();
  return after > before && &copy != &value ? after - before : 0;
}

}  // namespace cowslipmast

#endif  // COWSLIPMAST_BENCH_HEAP_USAGE_H_
