/// Messages between controllers and the cloud: machine types, the machine list, scale out and scale
/// in. Wire names are mapped to the project's terms here only; they stand in quotes.
#pragma once
#include <string>
#include <vector>

#include "protocol/cbor.hpp"
#include "protocol/result.hpp"

namespace damsonport {

/// One machine type of the catalogue; what the catalogue leaves out is 0 or empty.
struct MachineType {
  std::string name;                ///< "name"
  double cpus = 0;                 ///< "cores"
  double gpus = 0;                 ///< "accelerators"
  double memory_gb = 0;            ///< "memory_gb"
  double cache_gb = 0;             ///< "local_gb": disk for images
  double fetch_gb_per_s = 0;       ///< "pull_gb_per_s": of images
  double price = 0;                ///< "hourly": per hour, of an ordinary machine
  double spot_price = 0;           ///< "spot_price": per hour, now
  double boot_s = 0;               ///< "ready_s": usual time from the request to the worker, s
  std::vector<std::string> zones;  ///< "docks"
};
/// The error says which field of which entry is missing or invalid.
Result<std::vector<MachineType>> decode_catalog(const Json& map);

/// One machine as the cloud lists it; the list lags behind.
struct ListedMachine {
  std::string id;       ///< "ref"
  std::string address;  ///< "address": IPV4:PORT of its worker
  std::string type;     ///< "hull"
  std::string zone;     ///< "dock"
  std::string state;    ///< "status": starting, running or failed
  bool spot = false;    ///< "tender"
  double age_s = 0;     ///< "held_s": since the request for it, as of the list's moment, s
};
/// One page of the list.
struct MachineList {
  std::vector<ListedMachine> machines;  ///< "vessels", in the order of their ids
  bool more = false;                    ///< "more": another page follows
};
/// The error says which field of which entry is missing or invalid.
Result<MachineList> decode_machine_list(const Json& map);

/// A request for machines; repeated with the same id it has the same result.
struct ScaleOutRequest {
  std::string id;     ///< "charter": never used for another request
  std::string type;   ///< "hull"
  std::string zone;   ///< "dock"
  bool spot = false;  ///< "tender"
  int count = 0;      ///< "count": of machines
};
std::string encode_scale_out_request(const ScaleOutRequest& request);
/// The ids ("vessels") of the machines that a scale-out request created; empty where malformed.
std::vector<std::string> decode_created_machines(const Json& map);
/// The request that deletes these machines ("vessels").
std::string encode_return_request(const std::vector<std::string>& machines);

}  // namespace damsonport
