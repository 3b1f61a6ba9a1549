/// Stand-in of the cloud that machines are requested from. Written from the protocol, not from the
/// controllers.
#pragma once
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/messages.hpp"
#include "simulation/world.hpp"

namespace damsonport::simulation {

class SimulatedFleet;
struct MachineInfo;

/// Serves the catalog, the machine list, and requests for machines and for their return. The
/// workers on its machines belong to the fleet.
class Cloud {
 public:
  /// Serves at the address that `settings` name. `settings` must outlive the cloud.
  Cloud(World& world, const Settings& settings, std::vector<MachineType> machine_types,
        SimulatedFleet& fleet);

  /// A machine that is not up until mark_up().
  void add_machine(const MachineInfo& info);
  void mark_up(const std::string& id) { machines_.at(id).is_up = true; }

  /// Machines at a time, at the most.
  void set_capacity(int machines) { capacity_ = machines; }
  /// Machines in one answer of the list, at the most.
  void set_page_size(size_t machines) { page_size_ = machines; }
  static constexpr double never_boots = -1;
  /// Of machines requested from now on; 0: as the catalog says.
  void set_boot_time(double seconds) { boot_s_ = seconds; }
  /// During an outage every request is answered with an error.
  void set_outage(bool outage) { outage_ = outage; }

  const std::vector<MachineType>& machine_types() const { return machine_types_; }
  size_t rejected_for_rate() const { return rejected_for_rate_; }
  /// Machines that controllers have requested and returned so far.
  int rented() const { return rented_; }
  int returned() const { return returned_; }

 private:
  struct Machine {
    std::string address;
    std::string type;
    std::string zone;
    bool spot;
    double requested_at;
    bool is_up = false;
  };
  struct ListSnapshot {
    double taken_at;
    Json machines;
  };
  HttpReply handle(Method method, const std::string& target, const std::string& body);
  HttpReply catalog() const;
  HttpReply list(const std::string& target);
  HttpReply return_machines(const Json& request);
  HttpReply rent_machines(const Json& request);
  void boot(const std::string& id, const std::string& type);
  /// Takes one call from the rate limit; false: the limit is reached.
  bool try_consume_call();
  Json list_now() const;
  /// Of the list as it was a lag ago: the machines whose id is behind `since`.
  Json list_page(const std::string& since, size_t limit);

  World& world_;
  const Settings& settings_;
  const std::vector<MachineType> machine_types_;
  SimulatedFleet& fleet_;
  std::map<std::string, Machine> machines_;  // by id
  std::map<std::string, Json>
      responses_by_request_;            // by the request's key: a repeat is answered alike
  std::deque<ListSnapshot> snapshots_;  // from the newest that may be shown on
  int capacity_ = 0;
  size_t page_size_ = 500;
  double boot_s_ = 0;
  bool outage_ = false;
  double calls_left_ = 0;
  double calls_counted_at_ = -1e9;
  size_t rejected_for_rate_ = 0;
  int rented_ = 0;
  int returned_ = 0;
};

}  // namespace damsonport::simulation
