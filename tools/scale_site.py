#!/usr/bin/env python3
"""Copies a bench site file and multiplies its counts: machines, capacity, jobs and teams' limits.

    tools/scale_site.py SITE.toml FACTOR OUT.toml [--state] [--core]

--state also multiplies the request rates of the key-value store. --core gives each controller a
whole core. Write the copy outside the repository, beside the files that the site file names.
"""
import argparse
import re

# The fields to multiply, by section of the site file.
COUNTS = {"capacity": ("count", "spot"), "machines": ("count",), "teams": ("gpus", "gpus_max",
          "cpus", "cpus_max"), "jobs": ("initial",), "nodes": ("max_connections", "memory_mb")}
STATE = {"state": ("rps", "write_rps")}


def multiplied(line, fields, factor):
    """Returns the line with its number multiplied if it assigns one of the fields."""
    match = re.match(r"(\w+) = ([0-9.]+)\s*$", line)
    if not match or match.group(1) not in fields:
        return line
    value = match.group(2)
    scaled = float(value) * factor
    return f"{match.group(1)} = {scaled if '.' in value else round(scaled)}\n"


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("site")
    parser.add_argument("factor", type=int)
    parser.add_argument("out")
    parser.add_argument("--state", action="store_true")
    parser.add_argument("--core", action="store_true")
    options = parser.parse_args()
    fields = dict(COUNTS, **(STATE if options.state else {}))
    section = ""
    with open(options.site) as site, open(options.out, "w") as out:
        for line in site:
            header = re.match(r"\[+(\w+)\]+\s*$", line)
            if header:
                section = header.group(1)
            line = multiplied(line, fields.get(section, ()), options.factor)
            if section == "jobs" and line.startswith("arrivals"):
                line = re.sub(r"rate = ([0-9.]+)",
                              lambda m: f"rate = {float(m.group(1)) * options.factor}", line)
            if options.core and section == "nodes" and line.startswith("cpu_share"):
                line = "cpu_share = 1.0\n"
            if line.startswith("name = ") and section == "":
                line = line.rstrip().rstrip('"') + f'-x{options.factor}"\n'
            out.write(line)


if __name__ == "__main__":
    main()
