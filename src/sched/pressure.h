#ifndef COWSLIPMAST_SRC_SCHED_PRESSURE_H_
#define COWSLIPMAST_SRC_SCHED_PRESSURE_H_

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "cowslipmast/sched/job.h"

namespace cowslipmast::sched {

/** Position of an image in the lists of a pressure model. */
using ImageIndex = uint32_t;

/** What is known of how filling images press on one serving image.
 *
 * A serving task is modelled as a queue: its tail is `idle_tail` / (1 - u) at
 * utilisation u, and u is the task's own load plus, for each filling image
 * beside it, a pressure times the share of the worker's processors that the
 * image uses. Pressures are estimated by a Kalman filter with one dimension a
 * filling image. */
struct ServingModel {
  double shortest_tail_ms = 0;  // seen so far; 0 before the first
  std::vector<double> mean;
  std::vector<double> covariance;  // square, row by row
};

/** How images of tasks disturb each other, learned from listings. */
struct PressureModel {
  absl::flat_hash_map<ImageId, ImageIndex> serving_index;
  absl::flat_hash_map<ImageId, ImageIndex> filling_index;
  std::vector<ServingModel> serving;
};

/** Share of a worker's processors that tasks of a filling image use. */
struct FillingShare {
  ImageIndex image = 0;
  double share = 0;
};

ImageIndex ServingImage(PressureModel& model, const ImageId& image);
ImageIndex FillingImage(PressureModel& model, const ImageId& image);

/** Makes room for `size` filling images; new ones start with what is known of
 * any. */
void GrowModel(ServingModel& model, size_t size);

/** Utilisation at which a task of the image reaches a tail, from 0 to 1. */
double UtilisationAt(const ServingModel& model,
                     double tail_ms,
                     double target_ms);

/** Takes in the utilisation of a task of the image, beside filling images that
 * used `shares`. The task's own load hides small pressures. */
void ObserveLevel(PressureModel& model,
                  ImageIndex serving,
                  double observed,
                  const std::vector<FillingShare>& shares);

/** Takes in a task's utilisation before and after filling images changed their
 * shares by `changes`, within about a second: most of its own load cancels out.
 */
void ObserveChange(PressureModel& model,
                   ImageIndex serving,
                   double before,
                   double after,
                   const std::vector<FillingShare>& changes);

/** Adds to the share of an image. */
void AddShare(std::vector<FillingShare>& shares,
              ImageIndex image,
              double share);

/** Shares in `after` less those in `before`. */
std::vector<FillingShare> ChangeOfShares(
    const std::vector<FillingShare>& before,
    const std::vector<FillingShare>& after);

/** Pressure of a filling image on a serving one: the estimate, raised a little
 * while it is uncertain; never negative. */
double Pressure(const PressureModel& model,
                ImageIndex serving,
                ImageIndex filling);

/** Sum of the pressures of the shares. */
double TotalPressure(const PressureModel& model,
                     ImageIndex serving,
                     const std::vector<FillingShare>& shares);

/** Own load of a serving task before anything is known of it. */
inline constexpr double kUsualOwnLoad = 0.45;

}  // namespace cowslipmast::sched

#endif  // COWSLIPMAST_SRC_SCHED_PRESSURE_H_
