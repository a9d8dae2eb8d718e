#include <map>
#include <utility>

#include "cowslipmast/config_diff.h"

namespace cowslipmast {

namespace {

/** Keys and values of one entry, written as in TOML. */
using Fields = std::map<std::string, std::string>;
/** Entries of a section by id. */
using Entries = std::map<std::string, Fields>;

std::string Quoted(const std::string& text) {
  return "\"" + text + "\"";
}

std::string ListOf(const std::vector<ServiceId>& ids) {
  std::string text;
  for (const ServiceId& id : ids)
    text += (text.empty() ? "" : ", ") + Quoted(id.value());
  return "[" + text + "]";
}

void AddResources(const Resources& resources, Fields& fields) {
  fields["cores"] = std::to_string(resources.cpu.count() / 1000);
  fields["memory_mib"] = std::to_string(resources.memory.count());
  fields["accelerators"] = std::to_string(resources.accelerators.count());
}

Entries RegionEntries(const Config& config) {
  Entries entries;
  for (const RegionId& region : config.regions)
    entries[region.value()] = {};
  return entries;
}

Entries DataCentreEntries(const Config& config) {
  Entries entries;
  for (const auto& [id, data_centre] : config.data_centres) {
    const bool in =
        data_centre.availability == DataCentreAvailability::kInService;
    entries[id.value()] = {{"region", Quoted(data_centre.region.value())},
                           {"state", in ? "\"in\"" : "\"out\""}};
  }
  return entries;
}

Entries ServiceEntries(const Config& config) {
  Entries entries;
  for (const auto& [id, service] : config.services) {
    const auto deadline =
        std::chrono::duration_cast<std::chrono::milliseconds>(service.deadline);
    entries[id.value()] = {{"depends_on", ListOf(service.depends_on)},
                           {"deadline_ms", std::to_string(deadline.count())},
                           {"slots", std::to_string(service.slots.count())}};
  }
  return entries;
}

Entries TeamEntries(const Config& config) {
  Entries entries;
  for (const auto& [id, team] : config.teams)
    AddResources(team.quota, entries[id.value()]);
  return entries;
}

Entries WorkerClassEntries(const Config& config) {
  Entries entries;
  for (const auto& [id, worker_class] : config.worker_classes) {
    Fields& fields = entries[id.value()];
    AddResources(worker_class.resources, fields);
    fields["rack_size"] = std::to_string(worker_class.rack_size);
  }
  return entries;
}

std::vector<ConfigFieldChange> DiffFields(const Fields& before,
                                          const Fields& after) {
  std::vector<ConfigFieldChange> changes;
  for (const auto& [key, value] : before) {
    const std::string& other = after.at(key);
    if (value != other)
      changes.push_back({key, value, other});
  }
  return changes;
}

void DiffEntries(const std::string& section,
                 const Entries& before,
                 const Entries& after,
                 std::vector<ConfigChange>& changes) {
  for (const auto& [id, fields] : before) {
    const auto other = after.find(id);
    if (other == after.end()) {
      changes.push_back({ConfigChangeKind::kRemoved, section, id, {}});
      continue;
    }
    auto differing = DiffFields(fields, other->second);
    if (!differing.empty())
      changes.push_back(
          {ConfigChangeKind::kChanged, section, id, std::move(differing)});
  }
  for (const auto& [id, fields] : after) {
    if (!before.contains(id))
      changes.push_back({ConfigChangeKind::kAdded, section, id, {}});
  }
}

}  // namespace

std::vector<ConfigChange> DiffConfigs(const Config& before,
                                      const Config& after) {
  std::vector<ConfigChange> changes;
  DiffEntries("region", RegionEntries(before), RegionEntries(after), changes);
  DiffEntries("data_centre", DataCentreEntries(before),
              DataCentreEntries(after), changes);
  DiffEntries("service", ServiceEntries(before), ServiceEntries(after),
              changes);
  DiffEntries("team", TeamEntries(before), TeamEntries(after), changes);
  DiffEntries("worker_class", WorkerClassEntries(before),
              WorkerClassEntries(after), changes);
  return changes;
}

std::string DescribeConfigChange(const ConfigChange& change) {
  const std::string entry = change.section + " \"" + change.id + "\"";
  if (change.kind == ConfigChangeKind::kAdded)
    return "added " + entry;
  if (change.kind == ConfigChangeKind::kRemoved)
    return "removed " + entry;
  std::string text = "changed " + entry + ":";
  for (const ConfigFieldChange& field : change.fields)
    text += " " + field.key + " " + field.before + " -> " + field.after;
  return text;
}

}  // namespace cowslipmast
