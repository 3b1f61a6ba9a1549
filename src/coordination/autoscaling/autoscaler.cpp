#include "coordination/autoscaling/autoscaler.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>

#include "coordination/autoscaling/headroom.hpp"

namespace damsonport::autoscaling {

namespace {

// Machines rented in one plan, as a share of the fleet, and at the least: two requests' worth, so
// that a fleet which begins with nothing is there after a few plans.
constexpr double new_share = 0.25;
constexpr int new_at_least = 100;

struct Room {
  const MachineType* type;
  std::string zone;
  bool spot;
  Resources free;
};

class Planner {
 public:
  explicit Planner(const AutoscalerInput& in)
      : in_(in),
        max_new_(std::max(new_at_least,
                          static_cast<int>(new_share * static_cast<double>(in.machines.size())))) {
    out_.examined += in.machines.size();
    for (auto& m : in.machines) {
      if (m.open || m.booting) ++machines_in_[{m.zone, m.type}];
      if (auto* t = type(m.type); t && m.booting) rooms_.push_back({t, m.zone, m.spot, m.total});
    }
  }

  ScalingPlan run() {
    for (auto& r : in_.replacements) add(best_like(r));
    serve_demand();
    keep_spot();
    keep_spare();
    scale_in();
    return std::move(out_);
  }

 private:
  const MachineType* type(const std::string& name) const {
    for (auto& t : in_.types)
      if (t.name == name) return &t;
    return nullptr;
  }
  static Resources whole(const MachineType& t) { return {t.cpus, t.gpus, t.memory_gb}; }

  // The same kind if it can be had, else the other way of renting or another zone.
  const InstanceOffer* best_like(const InstanceOffer& wanted) const {
    const InstanceOffer* best = nullptr;
    for (auto& o : in_.offers) {
      if (o.refused || o.under_way || o.type != wanted.type) continue;
      if (o.spot && !wanted.spot) continue;
      if (o.zone == wanted.zone && o.spot == wanted.spot) return &o;
      if (!best) best = &o;
    }
    return best;
  }

  // Those to be rented included.
  int machines_in(const std::string& zone, const std::string& type) const {
    auto it = machines_in_.find({zone, type});
    int n = it == machines_in_.end() ? 0 : it->second;
    for (auto& r : out_.scale_out) n += r.zone == zone && r.type == type ? r.count : 0;
    return n;
  }

  void add(const InstanceOffer* offer) {
    if (!offer || added_ >= max_new_) return;
    auto* t = type(offer->type);
    if (!t) return;
    ++added_;
    rooms_.push_back({t, offer->zone, offer->spot, whole(*t)});
    for (auto& r : out_.scale_out)
      if (r.type == offer->type && r.zone == offer->zone && r.spot == offer->spot) {
        ++r.count;
        return;
      }
    out_.scale_out.push_back({offer->type, offer->zone, offer->spot, 1});
  }

  // The cheapest kind per task; among equals the zone with fewer machines, so that the fleet stays
  // spread.
  const InstanceOffer* best_for(const ResourceDemand& d, bool only_spot = false) const {
    const InstanceOffer* best = nullptr;
    double best_cost = std::numeric_limits<double>::infinity();
    for (auto& o : in_.offers) {
      auto* t = type(o.type);
      if (!t || o.refused || (o.under_way && !d.spot) || (o.spot ? !d.spot : only_spot)) continue;
      if (!d.zone.empty() && d.zone != o.zone) continue;
      if (!d.types.empty() && std::find(d.types.begin(), d.types.end(), o.type) == d.types.end())
        continue;
      if (!d.need.fits(whole(*t))) continue;
      double fit = 1e6;
      if (d.need.cpus > 0) fit = std::min(fit, t->cpus / d.need.cpus);
      if (d.need.gpus > 0) fit = std::min(fit, t->gpus / d.need.gpus);
      if (d.need.memory_gb > 0) fit = std::min(fit, t->memory_gb / d.need.memory_gb);
      double price = o.spot ? t->spot_price : t->price;
      double cost =
          price / std::max(1.0, std::floor(fit + 1e-6)) * (1 + 1e-3 * machines_in(o.zone, o.type));
      if (cost < best_cost) best_cost = cost, best = &o;
    }
    return best;
  }

  static bool matches_constraints(const ResourceDemand& d, const std::string& type,
                                  const std::string& zone, bool spot) {
    return (!spot || d.spot) && (d.zone.empty() || d.zone == zone) &&
           (d.types.empty() || std::find(d.types.begin(), d.types.end(), type) != d.types.end());
  }

  // Takes room for up to so many tasks of the like; yields how many found some.
  uint32_t take_room(Room& room, const ResourceDemand& d, uint32_t count) {
    ++out_.examined;
    if (!matches_constraints(d, room.type->name, room.zone, room.spot)) return 0;
    const uint32_t most = d.distinct_machines ? std::min(count, 1U) : count;
    const uint32_t taken = std::min(most, scheduling::count_fitting(d.need, room.free));
    room.free -= d.need * taken;
    return taken;
  }

  // From the first room on. A room that is passed over has none left for a later task either.
  uint32_t take_rooms(std::vector<Room>& rooms, const ResourceDemand& d, uint32_t count) {
    uint32_t left = count;
    for (auto& room : rooms) {
      if (left == 0) break;
      left -= take_room(room, d, left);
    }
    return count - left;
  }

  // Room for all of the like, renting where there is none; yields how many are left without.
  uint32_t serve(const ResourceDemand& d) {
    uint32_t left = d.count - take_rooms(rooms_, d, d.count);
    while (left > 0 && added_ < max_new_) {
      const InstanceOffer* offer = best_for(d);
      // What may use spot machines is not worth a dearer one as long as the cheapest may come.
      if (!offer || offer->under_way) break;
      add(offer);
      const uint32_t taken = take_room(rooms_.back(), d, left);
      if (taken == 0) break;
      left -= taken;
    }
    return left;
  }

  // Machines for all of a gang in one of its zones, or none.
  void serve_gang(const ResourceDemand& d) {
    std::vector<std::string> zones{d.zone};
    if (d.one_zone && d.zone.empty()) {
      zones.clear();
      for (auto& o : in_.offers)
        if (std::find(zones.begin(), zones.end(), o.zone) == zones.end()) zones.push_back(o.zone);
    }
    for (auto& zone : zones) {
      ResourceDemand in_zone = d;
      in_zone.zone = zone;
      const auto rooms = rooms_;
      const auto scale_out = out_.scale_out;
      const int added = added_;
      if (serve(in_zone) == 0) return;
      rooms_ = rooms;
      out_.scale_out = scale_out;
      added_ = added;
    }
  }

  void serve_demand() {
    for (auto& d : in_.demand) {
      if (d.gang) {
        serve_gang(d);
      } else {
        serve(d);
      }
    }
  }

  // Room for work that may use spot machines, and whose it is; no machine: it is being rented.
  struct SpotRoom {
    Room room;
    const MachineState* machine;
  };

  // Where the cloud has no more of a machine, its room is kept for work that can't go to spot ones.
  bool scarce(const MachineState& m) const {
    return std::any_of(in_.offers.begin(), in_.offers.end(), [&](auto& o) {
      return o.scarce && o.type == m.type && o.zone == m.zone && o.spot == m.spot;
    });
  }

  // What is free beside work that keeps its machine rented anyhow comes first, since it costs
  // nothing, then the spot machines, the empty ones last: they can be given back.
  std::vector<SpotRoom> rooms_for_spot_work() const {
    std::vector<SpotRoom> rooms;
    for (auto& m : in_.machines) {
      auto* t = type(m.type);
      if (!t || m.spot || !m.open || !m.has_fixed_work || scarce(m)) continue;
      Resources room = m.free;
      room += m.yielding;
      rooms.push_back({{t, m.zone, false, room}, &m});
    }
    for (const bool empty : {false, true})
      for (auto& m : in_.machines) {
        auto* t = type(m.type);
        if (!t || !m.spot || m.empty != empty || !(m.open || m.booting)) continue;
        rooms.push_back({{t, m.zone, true, whole(*t)}, &m});
      }
    for (auto& r : out_.scale_out) {
      auto* t = type(r.type);
      if (!r.spot) continue;
      rooms.insert(rooms.end(), static_cast<size_t>(r.count),
                   {{t, r.zone, true, whole(*t)}, nullptr});
    }
    return rooms;
  }

  // The least that any task of this work takes, of each kind: what has less room is full.
  Resources least_spot_need() const {
    Resources least{1e18, 1e18, 1e18};
    for (auto& d : in_.spot_work) {
      least.cpus = std::min(least.cpus, d.need.cpus);
      least.gpus = std::min(least.gpus, d.need.gpus);
      least.memory_gb = std::min(least.memory_gb, d.need.memory_gb);
    }
    return least;
  }

  // Spot machines for all the work that may use them. What runs there leaves the others, and the
  // images they hold, to work that may not: standing replicas then start without a stop before.
  void keep_spot() {
    if (in_.spot_work.empty()) return;
    auto rooms = rooms_for_spot_work();
    const Resources least = least_spot_need();
    for (auto& d : in_.spot_work) {
      uint32_t left = d.count;
      auto fill_up = [&](SpotRoom& r) {
        const uint32_t taken = take_room(r.room, d, left);
        if (taken > 0 && r.machine) needed_.insert(r.machine->id);
        left -= taken;
      };
      for (auto& r : rooms) {
        if (left == 0) break;
        fill_up(r);
      }
      while (left > 0 && added_ < max_new_) {
        auto* offer = best_for(d, true);
        if (!offer || offer->under_way) break;
        add(offer);
        auto* t = type(offer->type);
        rooms.push_back({{t, offer->zone, true, whole(*t)}, nullptr});
        fill_up(rooms.back());
      }
      // Full rooms are not looked at again for each of many jobs.
      std::erase_if(rooms, [&](auto& r) { return !least.fits(r.room.free); });
    }
  }

  void keep_spare() {
    double gpus = 0, cpus = 0;
    for (auto& m : in_.machines) {
      if (!m.open || m.spot) continue;
      if (m.total.gpus > 0) {
        gpus += m.free.gpus;
      } else {
        cpus += m.free.cpus;
      }
    }
    for (auto& r : rooms_) {
      if (r.spot) continue;
      (r.type->gpus > 0 ? gpus : cpus) += r.type->gpus > 0 ? r.free.gpus : r.free.cpus;
    }
    const double want_gpus = target_headroom(true) + in_.largest_gpus;
    const double want_cpus = target_headroom(false);
    fill(gpus, want_gpus, true);
    fill(cpus, want_cpus, false);
    spare_gpus_ = gpus - want_gpus;
    spare_cpus_ = cpus - want_cpus;
  }

  double target_headroom(bool accelerators) const {
    headroom::Pool pool;
    pool.in_use = accelerators ? in_.gpu_work.gpus : in_.cpu_work.cpus;
    pool.expected = accelerators ? in_.expected_gpus : in_.expected_cpus;
    for (auto& m : in_.machines) {
      pool.fleet_price += hourly_price(m);
      if (m.spot || (m.total.gpus > 0) != accelerators) continue;
      const double units = std::max(accelerators ? m.total.gpus : m.total.cpus, 1.0);
      pool.unit_price = std::max(pool.unit_price, hourly_price(m) / units);
    }
    return headroom::target_headroom(pool, in_.headroom_share, in_.cheap_share);
  }

  double hourly_price(const MachineState& m) const {
    auto* t = type(m.type);
    if (!t) return 0;
    return m.spot ? t->spot_price : t->price;
  }

  void fill(double& have, double want, bool accelerators) {
    while (have < want && added_ < max_new_) {
      const InstanceOffer* best = nullptr;
      double best_cost = std::numeric_limits<double>::infinity();
      for (auto& o : in_.offers) {
        auto* t = type(o.type);
        if (!t || o.refused || o.under_way || o.spot || (t->gpus > 0) != accelerators) continue;
        double unit = accelerators ? t->gpus : t->cpus;
        double cost = t->price / unit * (1 + 1e-3 * machines_in(o.zone, o.type));
        if (cost < best_cost) best_cost = cost, best = &o;
      }
      if (!best) return;
      auto* t = type(best->type);
      have += accelerators ? t->gpus : t->cpus;
      add(best);
    }
  }

  bool rents(const std::string& type) const {
    return std::any_of(out_.scale_out.begin(), out_.scale_out.end(),
                       [&](auto& r) { return r.type == type; });
  }

  // As long as renting another one would cost: it boots, and fetches the images that this one
  // holds.
  double keep_idle_s(const MachineState& m, const MachineType& t) const {
    return in_.idle_replacements * (t.boot_s + m.images_gb / std::max(t.fetch_gb_per_s, 1e-3));
  }

  bool may_go(const MachineState& m) const {
    auto* t = type(m.type);
    return t && m.open && m.empty && m.idle_s >= keep_idle_s(m, *t) && !rents(m.type);
  }

  void scale_in() {
    for (auto& m : in_.machines) {
      if (!may_go(m)) continue;
      if (m.spot) {
        if (!needed_.contains(m.id)) out_.scale_in.push_back(m.id);
        continue;
      }
      double& spare = m.total.gpus > 0 ? spare_gpus_ : spare_cpus_;
      const double unit = m.total.gpus > 0 ? m.total.gpus : m.total.cpus;
      if (spare < unit) continue;
      spare -= unit;
      out_.scale_in.push_back(m.id);
    }
  }

  const AutoscalerInput& in_;
  const int max_new_;
  std::vector<Room> rooms_;
  int added_ = 0;
  // By zone and type; without those that this plan rents.
  std::map<std::pair<std::string, std::string>, int> machines_in_;
  double spare_gpus_ = 0, spare_cpus_ = 0;
  std::set<std::string> needed_;  // machines that work which may use spot machines has room on
  ScalingPlan out_;
};

}  // namespace

ScalingPlan plan(const AutoscalerInput& in) { return Planner(in).run(); }

}  // namespace damsonport::autoscaling
