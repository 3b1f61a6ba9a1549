#include "coordination/sizing.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>

namespace damsonport::sizing {

namespace {

// Machines rented in one plan, as a share of the fleet, and at the least.
constexpr double new_share = 0.25;
constexpr int new_at_least = 100;

struct Room {
  const MachineType* type;
  std::string zone;
  bool spot;
  Amounts free;
};

class Planner {
 public:
  explicit Planner(const Input& in)
      : in_(in),
        max_new_(std::max(new_at_least,
                          static_cast<int>(new_share * static_cast<double>(in.machines.size())))) {
    out_.examined += in.machines.size();
    for (auto& m : in.machines) {
      if (m.open || m.booting) ++machines_in_[{m.zone, m.type}];
      if (auto* t = type(m.type); t && m.booting) rooms_.push_back({t, m.zone, m.spot, m.total});
    }
  }

  Plan run() {
    for (auto& r : in_.replacements) add(best_like(r));
    serve_demand();
    keep_spot();
    keep_spare();
    give_back();
    return std::move(out_);
  }

 private:
  const MachineType* type(const std::string& name) const {
    for (auto& t : in_.types)
      if (t.name == name) return &t;
    return nullptr;
  }
  static Amounts whole(const MachineType& t) { return {t.cpus, t.gpus, t.memory_gb}; }

  // The same kind if it can be had, else the other way of renting or another zone.
  const Offer* best_like(const Offer& wanted) const {
    const Offer* best = nullptr;
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
    for (auto& r : out_.rent) n += r.zone == zone && r.type == type ? r.count : 0;
    return n;
  }

  void add(const Offer* offer) {
    if (!offer || added_ >= max_new_) return;
    auto* t = type(offer->type);
    if (!t) return;
    ++added_;
    rooms_.push_back({t, offer->zone, offer->spot, whole(*t)});
    for (auto& r : out_.rent)
      if (r.type == offer->type && r.zone == offer->zone && r.spot == offer->spot) {
        ++r.count;
        return;
      }
    out_.rent.push_back({offer->type, offer->zone, offer->spot, 1});
  }

  // The cheapest kind per task; among equals the zone with fewer machines, so that the fleet stays
  // spread.
  const Offer* best_for(const Demand& d, bool only_spot = false) const {
    const Offer* best = nullptr;
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

  static bool suits(const Demand& d, const std::string& type, const std::string& zone, bool spot) {
    return (!spot || d.spot) && (d.zone.empty() || d.zone == zone) &&
           (d.types.empty() || std::find(d.types.begin(), d.types.end(), type) != d.types.end());
  }

  // Takes room for up to so many tasks of the like, from the first room on; yields how many found
  // some. A room that is passed over here has none left for a later task of them either.
  uint32_t take_rooms(const Demand& d, uint32_t count) {
    uint32_t left = count;
    for (auto& r : rooms_) {
      if (left == 0) break;
      ++out_.examined;
      if (!suits(d, r.type->name, r.zone, r.spot)) continue;
      for (; left > 0 && d.need.fits(r.free); --left) r.free -= d.need;
    }
    return count - left;
  }

  // As above, in the room added last.
  uint32_t take_last_room(const Demand& d, uint32_t count) {
    ++out_.examined;
    Room& r = rooms_.back();
    uint32_t left = suits(d, r.type->name, r.zone, r.spot) ? count : 0;
    const uint32_t tried = left;
    for (; left > 0 && d.need.fits(r.free); --left) r.free -= d.need;
    return tried - left;
  }

  // Room for all of the like, renting where there is none; yields how many are left without.
  uint32_t serve(const Demand& d) {
    uint32_t left = d.count - take_rooms(d, d.count);
    while (left > 0 && added_ < max_new_) {
      const Offer* offer = best_for(d);
      // What may use spot machines is not worth a dearer one as long as the cheapest may come.
      if (!offer || offer->under_way) break;
      add(offer);
      const uint32_t taken = take_last_room(d, left);
      if (taken == 0) break;
      left -= taken;
    }
    return left;
  }

  // Machines for all of a gang in one of its zones, or none.
  void serve_gang(const Demand& d) {
    std::vector<std::string> zones{d.zone};
    if (d.one_zone && d.zone.empty()) {
      zones.clear();
      for (auto& o : in_.offers)
        if (std::find(zones.begin(), zones.end(), o.zone) == zones.end()) zones.push_back(o.zone);
    }
    for (auto& zone : zones) {
      Demand in_zone = d;
      in_zone.zone = zone;
      const auto rooms = rooms_;
      const auto rent = out_.rent;
      const int added = added_;
      if (serve(in_zone) == 0) return;
      rooms_ = rooms;
      out_.rent = rent;
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

  // Spot machines for all the work that may use them. What runs there leaves the others, and the
  // images they hold, to work that may not: standing replicas then start without a stop before.
  void keep_spot() {
    std::vector<Room> rooms;
    std::vector<const MachineState*> owners;
    for (auto& m : in_.machines)
      if (auto* t = type(m.type); t && !m.spot && m.open && m.has_fixed_work) {
        Amounts room = m.free;
        room += m.yielding;
        rooms.push_back({t, m.zone, false, room});
        owners.push_back(&m);
      }
    for (auto& m : in_.machines)
      if (auto* t = type(m.type); t && m.spot && (m.open || m.booting)) {
        rooms.push_back({t, m.zone, true, whole(*t)});
        owners.push_back(&m);
      }
    for (auto& r : out_.rent)
      if (r.spot)
        rooms.insert(rooms.end(), static_cast<size_t>(r.count),
                     {type(r.type), r.zone, true, whole(*type(r.type))});
    for (auto& d : in_.spot_work) {
      uint32_t left = d.count;
      auto fill_up = [&](Room& r) {
        if (left == 0 || !suits(d, r.type->name, r.zone, r.spot)) return;
        uint32_t n = std::min(left, placing::count_fitting(d.need, r.free));
        for (uint32_t i = 0; i < n; ++i) r.free -= d.need;
        left -= n;
      };
      for (auto& r : rooms) fill_up(r);
      while (left > 0 && added_ < max_new_) {
        auto* offer = best_for(d, true);
        if (!offer || offer->under_way) break;
        add(offer);
        rooms.push_back({type(offer->type), offer->zone, true, whole(*type(offer->type))});
        fill_up(rooms.back());
      }
    }
    for (size_t i = 0; i < owners.size(); ++i)
      if (rooms[i].free.gpus < rooms[i].type->gpus || rooms[i].free.cpus < rooms[i].type->cpus)
        needed_spot_.insert(owners[i]->id);
  }

  void keep_spare() {
    double gpus = 0, cpus = 0;
    for (auto& m : in_.machines) {
      if (!m.open || m.spot) continue;
      if (m.total.gpus > 0) {
        gpus += m.free.gpus + m.yielding.gpus;
      } else {
        cpus += m.free.cpus;
      }
    }
    for (auto& r : rooms_) {
      if (r.spot) continue;
      (r.type->gpus > 0 ? gpus : cpus) += r.type->gpus > 0 ? r.free.gpus : r.free.cpus;
    }
    double want_gpus =
        wanted_spare(in_.gpu_work.gpus, in_.expected_gpus, true) + in_.largest_gpus;
    double want_cpus = wanted_spare(in_.cpu_work.cpus, in_.expected_cpus, false);
    fill(gpus, want_gpus, true);
    fill(cpus, want_cpus, false);
    spare_gpus_ = gpus - want_gpus;
    spare_cpus_ = cpus - want_cpus;
  }

  void fill(double& have, double want, bool accelerators) {
    while (have < want && added_ < max_new_) {
      const Offer* best = nullptr;
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
    return std::any_of(out_.rent.begin(), out_.rent.end(), [&](auto& r) { return r.type == type; });
  }

  double keep_idle_s(const MachineState& m, const MachineType& t) const {
    return in_.idle_replacements * (t.boot_s + m.images_gb / std::max(t.fetch_gb_per_s, 1e-3));
  }

  double hourly(const MachineState& m) const {
    auto* t = type(m.type);
    return !t ? 0 : m.spot ? t->spot_price : t->price;
  }

  // The price of a unit of room, accelerators or CPUs, at the dearest of its machines; 0: no machine.
  double unit_price(bool accelerators) const {
    double most = 0;
    for (auto& m : in_.machines)
      if (!m.spot && (m.total.gpus > 0) == accelerators)
        most = std::max(most, hourly(m) / std::max(accelerators ? m.total.gpus : m.total.cpus, 1.0));
    return most;
  }

  // The spare room to keep: a share of what is in use, but no more than is expected to be asked for
  // where it costs much.
  double wanted_spare(double in_use, double expected, bool accelerators) const {
    double fleet = 0;
    for (auto& m : in_.machines) fleet += hourly(m);
    const double wanted = in_use * in_.spare_share;
    const double cheap = in_.cheap_share * fleet / std::max(unit_price(accelerators), 1e-9);
    return std::min(wanted, std::max(expected, cheap));
  }

  void give_back() {
    for (auto& m : in_.machines) {
      auto* t = type(m.type);
      if (!t || !m.open || !m.empty || m.idle_s < keep_idle_s(m, *t) || rents(m.type)) continue;
      if (m.spot) {
        if (!needed_spot_.contains(m.id)) out_.give_back.push_back(m.id);
        continue;
      }
      double& spare = m.total.gpus > 0 ? spare_gpus_ : spare_cpus_;
      const double unit = m.total.gpus > 0 ? m.total.gpus : m.total.cpus;
      if (spare < unit) continue;
      spare -= unit;
      out_.give_back.push_back(m.id);
    }
  }

  const Input& in_;
  const int max_new_;
  std::vector<Room> rooms_;
  int added_ = 0;
  // By zone and type; without those that this plan rents.
  std::map<std::pair<std::string, std::string>, int> machines_in_;
  double spare_gpus_ = 0, spare_cpus_ = 0;
  std::set<std::string> needed_spot_;  // machines that the work which may use them fills
  Plan out_;
};

}  // namespace

Plan plan(const Input& in) { return Planner(in).run(); }

}  // namespace damsonport::sizing
