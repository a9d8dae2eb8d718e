#ifndef COWSLIPMAST_SRC_RECORD_RECORD_WRITER_H_
#define COWSLIPMAST_SRC_RECORD_RECORD_WRITER_H_

#include "cowslipmast/record.h"
#include "src/schema/record.capnp.h"

namespace cowslipmast {

void WriteResourceId(const ResourceId& from, schema::ResourceId::Builder to);
void WriteMember(const Member& from, schema::Member::Builder to);
void WriteVmStateSet(const VmStateSet& from, schema::VmStateSet::Builder to);
void WriteJobSpec(const JobSpec& from, schema::JobSpec::Builder to);
void WriteTaskProgress(const TaskProgress& from,
                       schema::TaskProgress::Builder to);
void WriteRecord(const Record& from, schema::Record::Builder to);
schema::Role ToSchema(Role role);

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_RECORD_RECORD_WRITER_H_
