#ifndef COWSLIPMAST_SRC_RECORD_RECORD_READER_H_
#define COWSLIPMAST_SRC_RECORD_RECORD_READER_H_

#include <optional>
#include <string>

#include "cowslipmast/record.h"
#include "src/schema/record.capnp.h"

namespace cowslipmast {

// Functions return std::nullopt for an enum value or a union member of a newer
// version.

std::string ReadText(capnp::Text::Reader from);
std::optional<Role> ReadRole(schema::Role from);
std::optional<ResourceId> ReadResourceId(schema::ResourceId::Reader from);
std::optional<Member> ReadMember(schema::Member::Reader from);
std::optional<VmStateSet> ReadVmStateSet(schema::VmStateSet::Reader from);
JobSpec ReadJobSpec(schema::JobSpec::Reader from);
TaskProgress ReadTaskProgress(schema::TaskProgress::Reader from);
/** Record kinds and values of a newer version become UnknownRecord. */
Record ReadRecord(schema::Record::Reader from);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_RECORD_RECORD_READER_H_
