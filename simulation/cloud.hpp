/// Simulates the API of the cloud that rents machines to the controllers. The simulation follows
/// the protocol and shares no code with the controllers' cloud client.
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

/// Responds to requests for the machine type catalog, the machine list, the rental of machines and
/// their return. The fleet owns the workers on the cloud's machines.
class Cloud {
 public:
  /// Starts to serve at `settings.cloud`. `settings` must outlive the cloud.
  Cloud(World& world, const Settings& settings, std::vector<MachineType> machine_types,
        SimulatedFleet& fleet);

  /// Adds a machine to the list, in the state `starting` until mark_up().
  void add_machine(const MachineInfo& info);
  void mark_up(const std::string& id) { machines_.at(id).is_up = true; }

  /// Sets the maximum number of machines that exist at the same time.
  void set_capacity(int machines) { capacity_ = machines; }
  /// Sets the maximum number of machines in one page of the machine list.
  void set_page_size(size_t machines) { page_size_ = machines; }
  /// The boot time of machines that stay in the state `starting` forever.
  static constexpr double never_boots = -1;
  /// Sets the boot time of machines that are rented from now on. 0 stands for the boot time in the
  /// machine type catalog.
  void set_boot_time(double seconds) { boot_s_ = seconds; }
  /// Starts or ends an outage, during which every request gets an error response.
  void set_outage(bool outage) { outage_ = outage; }

  const std::vector<MachineType>& machine_types() const { return machine_types_; }
  /// The number of requests rejected because of the rate limit.
  size_t rejected_for_rate() const { return rejected_for_rate_; }
  /// The number of machines that controllers have rented and returned so far.
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
  HttpClientResponse handle(Method method, const std::string& target, const std::string& body);
  HttpClientResponse catalog() const;
  HttpClientResponse list(const std::string& target);
  HttpClientResponse return_machines(const Json& request);
  HttpClientResponse rent_machines(const Json& request);
  void boot(const std::string& id, const std::string& type);
  /// Deducts one call from the rate limit. Returns false if the limit is exhausted.
  bool try_consume_call();
  Json list_now() const;
  /// Returns the page of machines whose id is greater than `since`, from the list as it was
  /// `list_lag_s` seconds ago.
  Json list_page(const std::string& since, size_t limit);

  World& world_;
  const Settings& settings_;
  const std::vector<MachineType> machine_types_;
  SimulatedFleet& fleet_;
  std::map<std::string, Machine> machines_;  // by machine id
  std::map<std::string, Json>
      responses_by_request_;  // by request key, so that a repeated request gets the same response
  std::deque<ListSnapshot>
      snapshots_;  // oldest first, starting with the newest one that may be shown
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
