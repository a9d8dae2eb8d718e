#ifndef COWSLIPMAST_STANDINS_VM_LIST_VM_LIST_SERVICE_H_
#define COWSLIPMAST_STANDINS_VM_LIST_VM_LIST_SERVICE_H_

#include <cstdint>

#include "src/net/asio.h"
#include "standins/common/fault_injection_server.h"
#include "standins/vm_list/vm_list.h"

namespace cowslipmast::standins {

/** HTTP interface of the VM list stand-in. */
class VmListService {
 public:
  VmListService(Json rows, Duration lag);

  asio::awaitable<InjectedResponse> Handle(HttpRequest request);

 private:
  HttpResponse RespondWithList(const HttpRequest& request);
  HttpResponse ApplyControl(const HttpRequest& request);

  VmList m_list;
  uint64_t m_reads = 0;
  uint64_t m_unchanged = 0;  // reads answered with 304 and no body
};

}  // namespace cowslipmast::standins

#endif  // COWSLIPMAST_STANDINS_VM_LIST_VM_LIST_SERVICE_H_
