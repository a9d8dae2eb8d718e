#ifndef COWSLIPMAST_SRC_SCHED_INTERFERENCE_MODEL_H_
#define COWSLIPMAST_SRC_SCHED_INTERFERENCE_MODEL_H_

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "cowslipmast/sched/job.h"

namespace cowslipmast::sched {

/** Position of an image in the lists of an interference model. */
using ImageIndex = uint32_t;

/** What other cells have learned of a coefficient, as sums over the cells. */
struct PeerEstimate {
  double precision = 0;      // inverse variances, beyond the initial one
  double weighted_mean = 0;  // means times their precisions
};

/** Estimated interference of best-effort images with one latency-critical
 * image.
 *
 * A latency-critical task is modelled as a queue: at utilisation u its tail
 * latency is `idle_tail` / (1 - u). u is the task's own utilisation plus, for
 * each best-effort image on the same worker, an interference coefficient times
 * the share of the worker's processors that the image uses. The coefficients
 * are estimated by a Kalman filter with one dimension per best-effort image. */
struct LatencyCriticalModel {
  double shortest_tail_ms = 0;       // seen so far; 0 before the first
  double peer_shortest_tail_ms = 0;  // seen by other cells; 0 if none
  std::vector<PeerEstimate> peers;   // by best-effort image
  std::vector<double> mean;          // coefficients, by best-effort image
  std::vector<double> covariance;    // square, row by row
};

/** How images of tasks interfere with each other, learned from listings. */
struct InterferenceModel {
  absl::flat_hash_map<ImageId, ImageIndex> latency_critical_index;
  absl::flat_hash_map<ImageId, ImageIndex> best_effort_index;
  std::vector<LatencyCriticalModel> latency_critical_models;
};

/** Share of a worker's processors that tasks of a best-effort image use. */
struct BestEffortShare {
  ImageIndex image = 0;
  double share = 0;
};

/** Index of an image, which is added if it is new. Once there are 96 images,
 * further ones count as tasks without an image. */
ImageIndex LatencyCriticalImageIndex(InterferenceModel& model,
                                     const ImageId& image);
ImageIndex BestEffortImageIndex(InterferenceModel& model, const ImageId& image);

/** Extends the model to `size` best-effort images; new ones start with the
 * initial estimate. */
void GrowModel(LatencyCriticalModel& model, size_t size);

/** Utilisation, from 0 to 1, at which a task of the image has the tail latency
 * `tail_ms`. */
double UtilisationAt(const LatencyCriticalModel& model,
                     double tail_ms,
                     double target_ms);

/** Updates the model with the utilisation of a task of the image while
 * best-effort images on its worker used `shares`. The task's own utilisation
 * hides small interference. */
void ObserveUtilisation(InterferenceModel& model,
                        ImageIndex latency_critical,
                        double observed,
                        const std::vector<BestEffortShare>& shares);

/** Updates the model with a task's utilisation before and after best-effort
 * images changed their shares by `changes`. The two are about a second apart,
 * so that most of the task's own utilisation cancels out. */
void ObserveUtilisationChange(InterferenceModel& model,
                              ImageIndex latency_critical,
                              double before,
                              double after,
                              const std::vector<BestEffortShare>& changes);

/** Adds to the share of an image, which is appended if it is not there. */
void AddShare(std::vector<BestEffortShare>& shares,
              ImageIndex image,
              double share);

/** Shares in `after` minus those in `before`. */
std::vector<BestEffortShare> ShareChanges(
    const std::vector<BestEffortShare>& before,
    const std::vector<BestEffortShare>& after);

/** Interference coefficient of a best-effort image on a latency-critical one,
 * raised a little while it is uncertain; never negative. */
double EstimateInterference(const InterferenceModel& model,
                            ImageIndex latency_critical,
                            ImageIndex best_effort);

/** Utilisation that the shares together add to a task of the image. */
double TotalInterference(const InterferenceModel& model,
                         ImageIndex latency_critical,
                         const std::vector<BestEffortShare>& shares);

/** Estimate of a coefficient before the first observation: an unknown
 * best-effort image is assumed to interfere a little. Pairs of images have a
 * coefficient near 0, or of 1 to 5. */
inline constexpr double kInitialMean = 0.2;
inline constexpr double kInitialVariance = 1.0;

/** Own utilisation assumed of a latency-critical task before it is measured. */
inline constexpr double kInitialOwnUtilisation = 0.45;

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_INTERFERENCE_MODEL_H_
