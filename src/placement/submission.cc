#include <algorithm>
#include <utility>

#include "cowslipmast/placement.h"
#include "src/placement/decision_steps.h"

namespace cowslipmast {

namespace {

constexpr size_t kMaxJobIdLength = 128;

// Ids are used unquoted in paths and log lines.
bool IsIdCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool IsValidId(const std::string& id) {
  return !id.empty() && id.size() <= kMaxJobIdLength &&
         std::all_of(id.begin(), id.end(), IsIdCharacter);
}

bool AreValidResources(const Resources& resources) {
  return resources.cpu.count() > 0 && resources.memory.count() >= 0 &&
         resources.accelerators.count() >= 0;
}

bool FitsAnyWorkerClass(const Resources& resources, const Config& config) {
  return std::any_of(config.worker_classes.begin(), config.worker_classes.end(),
                     [&resources](const auto& item) {
                       return Fits(resources, item.second.resources);
                     });
}

constexpr uint64_t kFnvOffsetBasis = 0xcbf29ce484222325ULL;
constexpr uint64_t kFnvPrime = 0x100000001b3ULL;

uint64_t HashText(const std::string& text, uint64_t hash) {
  // FNV-1a, because all processes and versions must compute the same ranking.
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= kFnvPrime;
  }
  return hash;
}

// The finalizer of MurmurHash3, because FNV-1a alone mixes the last characters
// too little into the high bits.
uint64_t FinalizeHash(uint64_t hash) {
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  hash *= 0xc4ceb9fe1a85ec53ULL;
  return hash ^ (hash >> 33);
}

uint64_t RankWeight(const JobId& job, const DataCentreId& data_centre) {
  return FinalizeHash(HashText(data_centre.value(),
                               HashText(job.value() + '/', kFnvOffsetBasis)));
}

bool IsAllowed(const JobSpec& spec, const DataCentreId& data_centre) {
  return spec.data_centres.empty() ||
         std::find(spec.data_centres.begin(), spec.data_centres.end(),
                   data_centre) != spec.data_centres.end();
}

bool IsOwned(const ControlState& control, const DataCentreId& data_centre) {
  const auto found = control.ownership.find(ResourceId(data_centre));
  return found != control.ownership.end() && found->second.owner.has_value();
}

}  // namespace

bool CheckSubmission(const JobSpec& spec,
                     const Config& config,
                     SubmissionError& reason) {
  if (!IsValidId(spec.id.value())) {
    reason = {SubmissionErrorKind::kBadId, spec.id.value()};
    return false;
  }
  if (spec.task_count == 0 || spec.task_count > kMaxTasksPerJob) {
    reason = {SubmissionErrorKind::kBadTaskCount,
              std::to_string(spec.task_count)};
    return false;
  }
  if (!AreValidResources(spec.resources)) {
    reason = {SubmissionErrorKind::kBadResources, spec.id.value()};
    return false;
  }
  if (!config.teams.contains(spec.team)) {
    reason = {SubmissionErrorKind::kUnknownTeam, spec.team.value()};
    return false;
  }
  for (const DataCentreId& data_centre : spec.data_centres) {
    if (config.data_centres.contains(data_centre))
      continue;
    reason = {SubmissionErrorKind::kUnknownDataCentre, data_centre.value()};
    return false;
  }
  if (!FitsAnyWorkerClass(spec.resources, config)) {
    reason = {SubmissionErrorKind::kTooLargeForAnyWorker, spec.id.value()};
    return false;
  }
  return true;
}

std::vector<DataCentreId> RankDataCentres(const JobSpec& spec,
                                          const ControlState& control) {
  std::vector<std::pair<uint64_t, DataCentreId>> weighted;
  for (const auto& [id, data_centre] : control.config.data_centres) {
    if (data_centre.availability == DataCentreAvailability::kInService &&
        IsAllowed(spec, id) && IsOwned(control, id))
      weighted.emplace_back(RankWeight(spec.id, id), id);
  }
  std::sort(weighted.begin(), weighted.end(), std::greater<>());
  std::vector<DataCentreId> ranked;
  ranked.reserve(weighted.size());
  for (auto& [weight, id] : weighted)
    ranked.push_back(std::move(id));
  return ranked;
}

}  // namespace cowslipmast
