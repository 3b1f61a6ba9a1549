#!/usr/bin/env python3
"""Prints the plan experiments/replicas.toml on standard output.

In five regions the controllers have the replicas file with replicas of two parts, in five others
they don't. Each region of the first five is paired with one of the others: both get the same faults
at the same random times.
"""

import random
import sys

PAIRS = 5
HEAD = """# Made by tools/make_replica_experiment.py.
title = "replicas of two parts, machines and holders lost at random; five regions with the file, five without"
seconds = 240
warmup_s = 40
controller_sockets = 2000

[regions]
count = 10
zones = 2
controllers = 3
workers = 80
polls_per_s = 2
divide_limits = false

[worker]
report_s = 1.5
lease_s = 12
cancel_s = 42

[state]
rps = 600
write_rps = 200
value_kb = 16
txn_ops = 32

[teams]
count = 4

[replicas]
file = "(class pairs (parts 2) (distinct-machines yes) (repairs 8) (moves 1))"
in_force = [1, 1, 1, 1, 1, 0, 0, 0, 0, 0]

[[machine]]
name = "gpu-8"
cpus = 96
gpus = 8
memory_gb = 768
fetch_gb_per_s = 10
boot_s = 10

[[load]]
name = "pairs"
priority = "production"
tasks = 4
cpus = 22
gpus = 4
memory_gb = 150
image_gb = 20
jobs_per_s = 1.3
from_s = 3
until_s = 23

[[load]]
name = "batch"
priority = "idle"
tasks = 4
cpus = 4
gpus = 1
memory_gb = 20
run_s = 20
jobs_per_s = 0.3
from_s = 3
until_s = 220
"""


def fault(kind, at_s, region, count=1, for_s=5):
    return (
        f'\n[[fault]]\nkind = "{kind}"\nat_s = {at_s:.1f}\nfor_s = {for_s}\n'
        f"region = {region}\ncount = {count}\n"
    )


def main():
    out = sys.stdout
    out.write(HEAD)
    for pair in range(PAIRS):
        draw = random.Random(pair + 1)
        for _ in range(8):
            at_s, count = draw.uniform(45, 190), draw.choice([1, 1, 2, 4])
            for region in (pair, pair + PAIRS):
                out.write(fault("kill_machines", at_s, region, count))
        for kind in ("kill_holder", "kill_holder", "pause_holder"):
            at_s, for_s = draw.uniform(45, 190), draw.choice([3, 15])
            for region in (pair, pair + PAIRS):
                out.write(fault(kind, at_s, region, for_s=for_s))


main()
