#ifndef COWSLIPMAST_STANDINS_TARGET_SERVICE_TIME_H_
#define COWSLIPMAST_STANDINS_TARGET_SERVICE_TIME_H_

#include <optional>
#include <string_view>

#include "cowslipmast/units.h"
#include "src/core/random.h"

namespace cowslipmast::standins {

enum class Distribution { kConstant, kUniform, kExponential };

/** Reads `constant`, `uniform` or `exponential`. */
std::optional<Distribution> ParseDistribution(std::string_view name);

/** Draws a random service time. kUniform draws from 0.5 to 1.5 times the mean.
 */
Duration DrawServiceTime(Distribution distribution,
                         Duration mean,
                         Random& random);

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_TARGET_SERVICE_TIME_H_
