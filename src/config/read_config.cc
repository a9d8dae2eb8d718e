#include <array>
#include <functional>
#include <utility>

#include "src/config/config_draft.h"

namespace cowslipmast {

namespace {

constexpr std::array<std::string_view, 5> kSections = {
    "region", "data_centre", "service", "team", "worker_class"};
constexpr std::array<std::string_view, 1> kRegionKeys = {"id"};
constexpr std::array<std::string_view, 3> kDataCentreKeys = {"id", "region",
                                                             "state"};
constexpr std::array<std::string_view, 4> kServiceKeys = {
    "id", "depends_on", "deadline_ms", "slots"};
constexpr std::array<std::string_view, 4> kTeamKeys = {
    "id", "cores", "memory_mib", "accelerators"};
constexpr std::array<std::string_view, 5> kWorkerClassKeys = {
    "id", "cores", "memory_mib", "accelerators", "rack_size"};
constexpr std::array<std::string_view, 2> kAvailabilities = {"in", "out"};

// The request protocol limits a caller's deadline to 60 s.
constexpr IntegerRange kDeadlineMs = {1, 60'000};
constexpr IntegerRange kSlots = {1, 1'024};
constexpr IntegerRange kWorkerCores = {1, 1'024};
constexpr IntegerRange kWorkerMemoryMib = {1, 16 * 1'024 * 1'024};
constexpr IntegerRange kWorkerAccelerators = {0, 64};
constexpr IntegerRange kRackSize = {1, 1'000};
// A quota limits the sum over all workers: 10,000 times the largest worker.
constexpr IntegerRange kQuotaCores = {0, 10'240'000};
constexpr IntegerRange kQuotaMemoryMib = {0, 167'772'160'000};
constexpr IntegerRange kQuotaAccelerators = {0, 640'000};

// Adds the id of an entry to `names`. Reports an error and returns false if an
// earlier entry has the same id.
bool AddName(const NamedNode& id,
             std::string_view section,
             std::set<std::string>& names,
             ConfigErrors& errors) {
  if (names.insert(id.name).second)
    return true;
  errors.Add(ConfigErrorKind::kDuplicateName, id.node->source(),
             "a second " + std::string(section) + " \"" + id.name + "\"",
             "an id that no other " + std::string(section) + " has");
  return false;
}

void ReadRegion(EntryReader& reader, ConfigDraft& draft, ConfigErrors& errors) {
  reader.CheckKeys(kRegionKeys);
  const auto id = reader.ReadName("id");
  if (id && AddName(*id, "region", draft.region_names, errors))
    draft.config.regions.emplace_back(id->name);
}

void ReadDataCentre(EntryReader& reader,
                    ConfigDraft& draft,
                    ConfigErrors& errors) {
  reader.CheckKeys(kDataCentreKeys);
  const auto id = reader.ReadName("id");
  const auto region = reader.ReadName("region");
  const auto state = reader.ReadChoice("state", kAvailabilities);
  if (region)
    draft.region_references.push_back(*region);
  const bool added =
      id && AddName(*id, "data_centre", draft.data_centre_names, errors);
  if (!added || !region || !state)
    return;
  const DataCentreId key(id->name);
  draft.config.data_centres[key] = {
      key, RegionId(region->name),
      *state == "in" ? DataCentreAvailability::kInService
                     : DataCentreAvailability::kOutOfService};
  draft.availability_nodes[key] = reader.table().get("state");
}

void ReadService(EntryReader& reader,
                 ConfigDraft& draft,
                 ConfigErrors& errors) {
  reader.CheckKeys(kServiceKeys);
  const auto id = reader.ReadName("id");
  const auto deadline = reader.ReadInteger("deadline_ms", kDeadlineMs);
  const auto slots = reader.ReadInteger("slots", kSlots);
  std::vector<NamedNode> depends_on = reader.ReadNames("depends_on");
  if (!id || !AddName(*id, "service", draft.service_names, errors))
    return;
  ServiceConfig service;
  service.id = ServiceId(id->name);
  for (const NamedNode& dependency : depends_on)
    service.depends_on.emplace_back(dependency.name);
  draft.depends_on[id->name] = std::move(depends_on);
  if (!deadline || !slots)
    return;
  service.deadline = std::chrono::milliseconds(*deadline);
  service.slots = Slots(*slots);
  draft.config.services[service.id] = std::move(service);
}

std::optional<Resources> ReadResources(EntryReader& reader,
                                       IntegerRange cores_range,
                                       IntegerRange memory_range,
                                       IntegerRange accelerator_range) {
  const auto cores = reader.ReadInteger("cores", cores_range);
  const auto memory = reader.ReadInteger("memory_mib", memory_range);
  const auto accelerators =
      reader.ReadIntegerOr("accelerators", accelerator_range, 0);
  if (!cores || !memory || !accelerators)
    return std::nullopt;
  return Resources{MilliCores(*cores * 1000), Mebibytes(*memory),
                   Accelerators(*accelerators)};
}

void ReadTeam(EntryReader& reader, ConfigDraft& draft, ConfigErrors& errors) {
  reader.CheckKeys(kTeamKeys);
  const auto id = reader.ReadName("id");
  const auto quota =
      ReadResources(reader, kQuotaCores, kQuotaMemoryMib, kQuotaAccelerators);
  if (!id || !AddName(*id, "team", draft.team_names, errors) || !quota)
    return;
  const TeamId key(id->name);
  draft.config.teams[key] = {key, *quota};
  draft.team_tables[id->name] = &reader.table();
}

void ReadWorkerClass(EntryReader& reader,
                     ConfigDraft& draft,
                     ConfigErrors& errors) {
  reader.CheckKeys(kWorkerClassKeys);
  const auto id = reader.ReadName("id");
  const auto resources = ReadResources(reader, kWorkerCores, kWorkerMemoryMib,
                                       kWorkerAccelerators);
  const auto rack_size = reader.ReadInteger("rack_size", kRackSize);
  if (!id || !AddName(*id, "worker_class", draft.worker_class_names, errors) ||
      !resources || !rack_size)
    return;
  const WorkerClassId key(id->name);
  draft.config.worker_classes[key] = {key, *resources,
                                      static_cast<uint32_t>(*rack_size)};
}

using ReadEntry =
    std::function<void(EntryReader&, ConfigDraft&, ConfigErrors&)>;

void ReadSection(const toml::table& root,
                 std::string_view section,
                 const ReadEntry& read,
                 ConfigDraft& draft,
                 ConfigErrors& errors) {
  const toml::node* node = root.get(section);
  if (!node)
    return;
  const std::string expected =
      "entries that begin with [[" + std::string(section) + "]]";
  const toml::array* array = node->as_array();
  if (!array) {
    errors.Add(ConfigErrorKind::kWrongType, node->source(), DescribeToml(*node),
               expected);
    return;
  }
  for (const toml::node& item : *array) {
    const toml::table* table = item.as_table();
    if (!table) {
      errors.Add(ConfigErrorKind::kWrongType, item.source(), DescribeToml(item),
                 expected);
      continue;
    }
    EntryReader reader(*table, section, errors);
    read(reader, draft, errors);
  }
}

// Rejects empty and truncated files: publishing one would remove all regions
// and data centres.
void RequireSection(const toml::table& root,
                    std::string_view section,
                    ConfigErrors& errors) {
  const toml::node* node = root.get(section);
  if (!node || (node->is_array() && node->as_array()->empty()))
    errors.AddWithoutPosition(ConfigErrorKind::kMissingKey,
                              "no " + std::string(section),
                              "at least one [[" + std::string(section) + "]]");
}

}  // namespace

ConfigDraft ReadConfig(const toml::table& root, ConfigErrors& errors) {
  ConfigDraft draft;
  EntryReader(root, "configuration", errors).CheckKeys(kSections);
  RequireSection(root, "region", errors);
  RequireSection(root, "data_centre", errors);
  ReadSection(root, "region", ReadRegion, draft, errors);
  ReadSection(root, "data_centre", ReadDataCentre, draft, errors);
  ReadSection(root, "service", ReadService, draft, errors);
  ReadSection(root, "team", ReadTeam, draft, errors);
  ReadSection(root, "worker_class", ReadWorkerClass, draft, errors);
  return draft;
}

}  // namespace cowslipmast
