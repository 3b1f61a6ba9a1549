/// Messages between controllers and the cloud API: the machine type catalog, the machine list,
/// scale-out requests, and requests to return machines. Only this module knows the wire names of
/// the fields; the comment of each field gives its wire name in quotes.
#pragma once
#include <string>
#include <vector>

#include "protocol/cbor.hpp"
#include "protocol/result.hpp"

namespace damsonport {

/// One entry of the machine type catalog. Fields that are absent from the catalog are 0 or empty.
struct MachineType {
  std::string name;           ///< "name"
  double cpus = 0;            ///< "cores"
  double gpus = 0;            ///< "accelerators"
  double memory_gb = 0;       ///< "memory_gb"
  double cache_gb = 0;        ///< "local_gb": size of the image cache on disk
  double fetch_gb_per_s = 0;  ///< "pull_gb_per_s": download rate for images
  double price = 0;           ///< "hourly": price per hour of an on-demand machine
  double spot_price = 0;      ///< "spot_price": present price per hour of a spot machine
  double boot_s = 0;          ///< "ready_s": typical time from the request until the worker runs, s
  std::vector<std::string> zones;  ///< "docks": zones with machines of this type
};
/// Decodes the machine type catalog. The error names the entry and the field that is missing or
/// invalid.
Result<std::vector<MachineType>> decode_catalog(const Json& map);

/// One entry of the cloud's machine list. The list is eventually consistent: it lags behind the
/// state of the machines.
struct ListedMachine {
  std::string id;       ///< "ref"
  std::string address;  ///< "address": IPV4:PORT of the worker
  std::string type;     ///< "hull": machine type
  std::string zone;     ///< "dock"
  std::string state;    ///< "status": starting, running or failed
  bool spot = false;    ///< "tender": a spot machine
  double age_s = 0;     ///< "held_s": time from the machine's request to the list's snapshot, s
};
/// One page of the machine list.
struct MachineList {
  std::vector<ListedMachine> machines;  ///< "vessels": machines in the order of the ids
  bool more = false;                    ///< "more": another page follows
};
/// Decodes one page of the machine list. The error names the entry and the field that is missing or
/// invalid.
Result<MachineList> decode_machine_list(const Json& map);

/// A request to create machines. It is idempotent: a repeated request with the same id has the same
/// result.
struct ScaleOutRequest {
  std::string id;     ///< "charter": unique id of the request
  std::string type;   ///< "hull": machine type
  std::string zone;   ///< "dock"
  bool spot = false;  ///< "tender": spot machines
  int count = 0;      ///< "count": number of machines
};
std::string encode_scale_out_request(const ScaleOutRequest& request);
/// Returns the ids ("vessels") of the machines that a scale-out request created, or an empty list
/// if the response is malformed.
std::vector<std::string> decode_created_machines(const Json& map);
/// Encodes the request that returns the machines with these ids ("vessels") to the cloud.
std::string encode_return_request(const std::vector<std::string>& machines);

}  // namespace damsonport
