// Uses the library without sockets: two processes claim the same resource in an
// in-memory log. Each applies the log on its own and arrives at the same owner.

#include <cowslipmast/codec.h>
#include <cowslipmast/fold.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

namespace cm = cowslipmast;

namespace {

std::string EncodeClaim(uint64_t producer, const char* process) {
  const cm::Claim claim{.resource = cm::DataCentreId("bulacan"),
                        .process = cm::ProcessId(process),
                        .base_epoch = cm::Epoch(0)};
  return cm::EncodeBatch({.producer = {producer, 1},
                          .sequence = cm::BatchSequence(1),
                          .records = {claim}});
}

void FoldAll(const std::vector<std::string>& log, cm::ControlFold& fold) {
  for (const std::string& entry : log)
    fold.Apply(fold.state().next, entry);
}

}  // namespace

int main() {
  const std::string first = EncodeClaim(1, "vm-1/placer");
  const std::string second = EncodeClaim(2, "vm-2/placer");
  // The first claim appears twice, as if its writer had repeated it after a
  // lost reply.
  const std::vector<std::string> log = {first, second, first};

  const auto one = cm::ControlFold::Make();
  const auto other = cm::ControlFold::Make();
  FoldAll(log, *one);
  FoldAll(log, *other);

  const cm::Ownership& ownership =
      one->state().ownership.at(cm::DataCentreId("bulacan"));
  std::cout << "owner " << ownership.owner->value() << ", epoch "
            << ownership.epoch.value() << ", void claims "
            << one->counters().void_records << ", duplicates "
            << one->counters().duplicate_batches << "\n";
  const bool agree = one->Digest() == other->Digest() &&
                     ownership.owner == cm::ProcessId("vm-1/placer");
  return agree ? EXIT_SUCCESS : EXIT_FAILURE;
}
