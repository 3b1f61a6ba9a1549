#!/usr/bin/env python3
"""Fits a line by least squares to the results of the experiments that vary one quantity.

Reads experiments/results/slope-*.json and prints the tables for docs/CAPACITY.md. Run at the root
of the repository:

    tools/fit_slopes.py
"""
import json
import pathlib

RESULTS = pathlib.Path("experiments/results")


def fit(points):
    """Returns slope, intercept and the largest absolute residual of the points (x, y)."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - slope * x - intercept) for x, y in points)
    return slope, intercept, residual


def role(name, field):
    """Returns a function that reads a field of a role in region `r` of the results `d`."""
    return lambda d, r: d["regions"][r]["roles"].get(name, {}).get(field, 0)


def watch_bytes(d, r):
    """Bytes a second that the simulated key-value store sends in responses to watches."""
    return d["regions"][r]["state"]["traffic"].get("watch", [0, 0, 0])[2] / d["seconds"]


def worker_bytes(d, r):
    """Bytes a second of one worker's heartbeats and commands, both directions, headers included."""
    site = d["regions"][r]["site"]
    header_bytes = 230
    sums = [site["asked"].get("hello", [0, 0, 0]), site["served"].get("commands", [0, 0, 0])]
    return sum(n * header_bytes + i + o for n, i, o in sums) / site["workers"] / d["seconds"]


FIGURES = {
    "holder, cores": role("holder", "mean_cpu"),
    "holder, busiest second": role("holder", "peak_cpu"),
    "holder, MB": role("holder", "peak_mb"),
    "one other controller, cores": role("other controller", "mean_cpu"),
    "one other controller, MB": role("other controller", "peak_mb"),
    "state service (stand-in), cores": role("state service (stand-in)", "mean_cpu"),
    "workers, cloud, users (stand-in), cores": role("hollow workers, cloud, users", "mean_cpu"),
    "state writes a second": lambda d, r: d["regions"][r]["state"]["writes"] / d["seconds"],
    "watch bytes a second": watch_bytes,
    "a worker's control bytes a second": worker_bytes,
}


def table(name, sizes):
    """Prints one experiment; `sizes` are the values of the varied quantity, one for each region."""
    run = json.loads((RESULTS / f"slope-{name}.json").read_text())
    print(f"\n### {name}\n")
    print("| figure | " + " | ".join(f"{x:.0f}" for x in sizes)
          + " | slope | intercept | largest residual |")
    print("| --- |" + " --- |" * (len(sizes) + 3))
    for figure, read in FIGURES.items():
        points = [(x, read(run, r)) for r, x in enumerate(sizes)]
        slope, intercept, residual = fit(points)
        print(f"| {figure} | " + " | ".join(f"{y:.4g}" for _, y in points)
              + f" | {slope:.3g} | {intercept:.3g} | {residual:.2g} |")


if __name__ == "__main__":
    table("workers", (250, 500, 1000, 2000))
    table("starts", (25, 50, 100, 200))
    table("polls", (50, 100, 200, 400))
    table("controllers", (1, 2, 3, 5))
