/// Booting machines: their creation times, and when a machine counts as late or as failed.
#include "coordination/autoscaling/booting_machines.hpp"

#include <gtest/gtest.h>

namespace damsonport {
namespace {

MachineType machine_type_with_boot_time(double boot_s) {
  MachineType type;
  type.boot_s = boot_s;
  return type;
}

TEST(BootingMachines, KeepsFirstCreationTime) {
  BootingMachines booting;
  booting.add("i-1", {"g1", "a", false}, 10);
  const BootingMachine& again = booting.add("i-1", {"g1", "a", false}, 50);
  EXPECT_DOUBLE_EQ(again.created_at, 10);
  EXPECT_EQ(booting.all().size(), 1U);
  booting.remove("i-1");
  EXPECT_TRUE(booting.all().empty());
}

TEST(BootingMachines, MachineIsLateAfter160PercentOfItsBootTime) {
  const MachineType type = machine_type_with_boot_time(100);
  const BootingMachine machine{{"g1", "a", false}, 1000};
  EXPECT_FALSE(BootingMachines::is_late(machine, type, 1100));
  EXPECT_FALSE(BootingMachines::is_late(machine, type, 1159));
  EXPECT_TRUE(BootingMachines::is_late(machine, type, 1161));
  EXPECT_DOUBLE_EQ(BootingMachines::late_after_s(&type), 160);
  EXPECT_DOUBLE_EQ(BootingMachines::late_after_s(nullptr), 0);
}

TEST(BootingMachines, MachineHasFailedAfterFourTimesItsBootTime) {
  const MachineType type = machine_type_with_boot_time(100);
  const BootingMachine machine{{"g1", "a", false}, 1000};
  EXPECT_FALSE(BootingMachines::has_failed(machine, &type, 1399));
  EXPECT_TRUE(BootingMachines::has_failed(machine, &type, 1401));
}

TEST(BootingMachines, MachineOfUnknownTypeHasFailedAfterFourMinutes) {
  const BootingMachine machine{{"g9", "a", false}, 1000};
  EXPECT_FALSE(BootingMachines::has_failed(machine, nullptr, 1239));
  EXPECT_TRUE(BootingMachines::has_failed(machine, nullptr, 1241));
}

}  // namespace
}  // namespace damsonport
