#ifndef COWSLIPMAST_SRC_SCHEDULER_PROCESS_MANIFEST_FOLLOWER_H_
#define COWSLIPMAST_SRC_SCHEDULER_PROCESS_MANIFEST_FOLLOWER_H_

#include <functional>
#include <memory>

#include "src/net/asio.h"
#include "src/scheduler_process/platform_ports.h"
#include "src/scheduler_process/topic_follower.h"

namespace cowslipmast::sched {

/** Keeps the manifest up to date with the operators' records in the store. */
class ManifestFollower {
 public:
  static std::unique_ptr<ManifestFollower> Make(
      asio::io_context& io,
      const StorePort& store,
      const RecordDecoders& decoders,
      std::function<void()> on_change);

  const Manifest& manifest() const { return m_manifest; }
  /** Age of the last response of the store; nothing before the first. */
  std::optional<Duration> Age() const { return m_follower->Age(); }

 private:
  ManifestFollower(const RecordDecoders& decoders,
                   std::function<void()> on_change);
  void Apply(const TopicFollower::Records& records);

  RecordDecoders m_decoders;
  std::function<void()> m_on_change;
  Manifest m_manifest;
  std::unique_ptr<TopicFollower> m_follower;
};

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHEDULER_PROCESS_MANIFEST_FOLLOWER_H_
