#include "standins/target/service_time.h"

#include <cstdint>
#include <random>

namespace cowslipmast::standins {

std::optional<Distribution> ParseDistribution(std::string_view name) {
  if (name == "constant")
    return Distribution::kConstant;
  if (name == "uniform")
    return Distribution::kUniform;
  if (name == "exponential")
    return Distribution::kExponential;
  return std::nullopt;
}

Duration DrawServiceTime(Distribution distribution,
                         Duration mean,
                         Random& random) {
  const auto mean_us = static_cast<double>(mean.count());
  double factor = 1;
  if (distribution == Distribution::kUniform)
    factor = std::uniform_real_distribution<double>(0.5, 1.5)(random);
  if (distribution == Distribution::kExponential)
    factor = std::exponential_distribution<double>(1)(random);
  return Duration(static_cast<int64_t>(mean_us * factor));
}

}  // namespace cowslipmast::standins
