#include <algorithm>
#include <array>
#include <utility>

#include "src/config/config_draft.h"
#include "src/config/edit_distance.h"

namespace cowslipmast {

namespace {

void CheckReference(const NamedNode& reference,
                    std::string_view section,
                    const std::set<std::string>& names,
                    ConfigErrors& errors) {
  if (names.contains(reference.name))
    return;
  const std::vector<std::string_view> known(names.begin(), names.end());
  const std::string_view nearest = NearestName(reference.name, known);
  std::string expected = "the id of a " + std::string(section);
  if (!nearest.empty())
    expected += ", as \"" + std::string(nearest) + "\"";
  errors.Add(ConfigErrorKind::kUnknownReference, reference.node->source(),
             "\"" + reference.name + "\"", std::move(expected));
}

void CheckDependencies(const ConfigDraft& draft, ConfigErrors& errors) {
  for (const auto& [service, dependencies] : draft.depends_on) {
    std::set<std::string> seen;
    for (const NamedNode& dependency : dependencies) {
      CheckReference(dependency, "service", draft.service_names, errors);
      if (!seen.insert(dependency.name).second)
        errors.Add(ConfigErrorKind::kDuplicateName, dependency.node->source(),
                   "\"" + dependency.name + "\" a second time",
                   "each dependency once");
    }
  }
}

// Finds dependency cycles by a depth-first search. The search is iterative
// because a chain of dependencies as long as the text allows would overflow the
// stack of a recursive one.
class CycleSearch {
 public:
  CycleSearch(const ConfigDraft& draft, ConfigErrors& errors)
      : m_draft(draft), m_errors(errors) {}

  void Run() {
    for (const auto& [service, dependencies] : m_draft.depends_on)
      Visit(service);
  }

 private:
  struct PathStep {
    std::string service;
    size_t next = 0;  // index of the next dependency to visit
  };

  void Visit(const std::string& start) {
    if (!m_seen.insert(start).second)
      return;
    m_path.push_back({start, 0});
    m_on_path.insert(start);
    while (!m_path.empty())
      Advance();
  }

  void Advance() {
    PathStep& step = m_path.back();
    const auto found = m_draft.depends_on.find(step.service);
    if (found == m_draft.depends_on.end() ||
        step.next == found->second.size()) {
      m_on_path.erase(step.service);
      m_path.pop_back();
      return;
    }
    const NamedNode& dependency = found->second[step.next++];
    if (m_on_path.contains(dependency.name)) {
      ReportCycle(dependency);
    } else if (m_seen.insert(dependency.name).second) {
      m_on_path.insert(dependency.name);
      m_path.push_back({dependency.name, 0});
    }
  }

  void ReportCycle(const NamedNode& closing) {
    const auto begin = std::find_if(
        m_path.begin(), m_path.end(),
        [&](const PathStep& step) { return step.service == closing.name; });
    std::string cycle;
    for (auto step = begin; step != m_path.end(); ++step)
      cycle += step->service + " -> ";
    m_errors.Add(ConfigErrorKind::kDependencyCycle, closing.node->source(),
                 cycle + closing.name,
                 "services that do not depend on themselves");
  }

  const ConfigDraft& m_draft;
  ConfigErrors& m_errors;
  std::set<std::string> m_seen;
  std::set<std::string> m_on_path;
  std::vector<PathStep> m_path;
};

// A quota limits the sum over all workers, so it is unusable only if no worker
// class has the resource at all.
void CheckQuota(const toml::table& team,
                std::string_view key,
                int64_t quota,
                int64_t largest,
                ConfigErrors& errors) {
  if (quota == 0 || largest > 0)
    return;
  const toml::node* node = team.get(key);
  errors.Add(ConfigErrorKind::kTooLargeForAnyVm,
             node ? node->source() : team.source(),
             "a quota of " + std::to_string(quota) + " " + std::string(key),
             "0, or a worker_class with " + std::string(key));
}

void CheckQuotas(const ConfigDraft& draft, ConfigErrors& errors) {
  Resources largest;
  for (const auto& [id, worker_class] : draft.config.worker_classes) {
    largest.cpu = std::max(largest.cpu, worker_class.resources.cpu);
    largest.memory = std::max(largest.memory, worker_class.resources.memory);
    largest.accelerators =
        std::max(largest.accelerators, worker_class.resources.accelerators);
  }
  // Worker classes with errors are missing from `config`, and one of them may
  // have the resource.
  if (draft.config.worker_classes.size() != draft.worker_class_names.size())
    return;
  for (const auto& [name, table] : draft.team_tables) {
    const Resources& quota = draft.config.teams.at(TeamId(name)).quota;
    CheckQuota(*table, "cores", quota.cpu.count() / 1000, largest.cpu.count(),
               errors);
    CheckQuota(*table, "memory_mib", quota.memory.count(),
               largest.memory.count(), errors);
    CheckQuota(*table, "accelerators", quota.accelerators.count(),
               largest.accelerators.count(), errors);
  }
}

}  // namespace

void CheckConfig(const ConfigDraft& draft, ConfigErrors& errors) {
  for (const NamedNode& region : draft.region_references)
    CheckReference(region, "region", draft.region_names, errors);
  CheckDependencies(draft, errors);
  CycleSearch(draft, errors).Run();
  CheckQuotas(draft, errors);
}

}  // namespace cowslipmast
