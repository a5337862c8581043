#!/usr/bin/env python3
"""Measures the control plane of idle nodes on this machine: one site of real processes for each number of nodes.

For each size it counts the platform's calls, the memory and the processor time of the nodes while nothing happens, and times how long configuration
patches take until each node has them in force. It fits each figure over the sizes by least squares. All processes are ended in every case.
"""
import argparse
import datetime
import json
import math
import os
import pathlib
import re
import statistics
import time

from local_site import Site, http

DOMAINS = 4
SETTLE_S = 15  # The join phase of a node lasts 10 s.
PATCH_TIMEOUT_S = 15
LOG_LINE = re.compile(r"^(\S+) .*configuration\.in_force version=(\d+)", re.MULTILINE)
CALLS_LINE = re.compile(r'^snipefall_store_calls\{(.*)\} (\S+)$', re.MULTILINE)


def percentile(values, share):
    """Returns the nearest-rank percentile."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def fit(points):
    """Fits y = a + b x by least squares; returns a, b and the standard error of b."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residual = sum((y - intercept - slope * x) ** 2 for x, y in points)
    return intercept, slope, math.sqrt(residual / (count - 2) / spread) if count > 2 else math.nan


def process_use(pid):
    """Returns the CPU seconds and resident bytes of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    resident = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ticks / os.sysconf("SC_CLK_TCK"), resident * os.sysconf("SC_PAGE_SIZE")


def calls_by_purpose(site):
    """Returns the platform calls that the nodes count in their metrics, summed over all nodes, by "purpose kind"."""
    sums = {}
    for node in site.nodes.values():
        text = http("GET", node["operators"], "/metrics")[1]["text"]
        for labels, value in CALLS_LINE.findall(text):
            names = dict(re.findall(r'(\w+)="([^"]*)"', labels))
            key = f"{names['purpose']} {names['kind']}"
            sums[key] = sums.get(key, 0) + float(value)
    return sums


def snapshot(site):
    return {
        "at": time.monotonic(),
        "platform": http("GET", site.platform, "/control")[1]["calls"],
        "purposes": calls_by_purpose(site),
        "use": {name: process_use(site.processes[name].pid) for name in site.nodes},
    }


def difference(before, after, seconds):
    return {key: round((value - before.get(key, 0)) / seconds, 3) for key, value in after.items() if value != before.get(key, 0)}


def in_force_times(site, version):
    """Returns for each node when it logged that the version or a later one is in force, or None without such a line."""
    times = {}
    for name in site.nodes:
        times[name] = None
        for stamp, logged in LOG_LINE.findall(site.log(name)):
            if int(logged) >= version:
                times[name] = datetime.datetime.fromisoformat(stamp.replace("Z", "+00:00")).timestamp()
                break
    return times


def time_patches(site, count):
    """Returns one list per patch: the seconds from sending the patch until it is in force on each node."""
    spreads = []
    names = list(site.nodes)
    for index in range(count):
        time.sleep(0.7)
        sent = time.time()
        status, body = site.patch({"entry_ttl_ms": 1000 + index}, f"measurement {index}", names[index % len(names)])
        if status != 200:
            raise RuntimeError(f"patch refused: {body}")
        end = time.monotonic() + PATCH_TIMEOUT_S
        times = in_force_times(site, body["version"])
        while None in times.values() and time.monotonic() < end:
            time.sleep(0.3)
            times = in_force_times(site, body["version"])
        spreads.append([math.inf if at is None else at - sent for at in times.values()])
    return spreads


def measure(options, nodes):
    services, idle_s, patches = options.services, options.idle_s, options.patches
    site = Site(options.build_dir)
    try:
        site.start_platform()
        for index in range(services):
            for replica in range(2):
                site.add_server(f"server-{index}-{replica}", f"desk-{index}", f"domain-{replica}", slots=2)
        site.publish_vms()
        for index in range(nodes):
            site.add_node(f"node-{index:03}", f"domain-{index % DOMAINS}", program=options.node_program)
        for name in site.nodes:
            site.wait_ready(name)
        settings = {"version": "v1", "slots_per_server": 2, "connections_per_server": 25}
        status, body = site.patch({"services": {f"desk-{index}": settings for index in range(services)}}, "services")
        if status != 200:
            raise RuntimeError(f"patch refused: {body}")
        time.sleep(SETTLE_S)
        before = snapshot(site)
        time.sleep(idle_s)
        after = snapshot(site)
        seconds = after["at"] - before["at"]
        spreads = time_patches(site, patches)
    finally:
        site.stop()
    processor = [(after["use"][name][0] - before["use"][name][0]) / seconds for name in site.nodes]
    resident = [after["use"][name][1] / 1e6 for name in site.nodes]
    kinds = difference(before["platform"], after["platform"], seconds)
    purposes = difference(before["purposes"], after["purposes"], seconds)
    everything = [value for spread in spreads for value in spread]
    return {
        "nodes": nodes,
        "platform_calls_per_s": kinds,
        "purposes_per_s": purposes,
        "reads_per_s": sum(value for key, value in purposes.items() if key.endswith(" read")),
        "writes_per_s": sum(value for key, value in purposes.items() if key.endswith(" write")),
        "processor_percent_mean": 100 * statistics.mean(processor),
        "processor_percent_max": 100 * max(processor),
        "resident_mb_mean": statistics.mean(resident),
        "resident_mb_max": max(resident),
        "patch_p50_s": percentile(everything, 0.50),
        "patch_p99_s": percentile(everything, 0.99),
        "patch_last_s": max(everything),
        "patch_last_median_s": statistics.median(max(spread) for spread in spreads),
        "load_average": os.getloadavg()[0],
    }


FITTED = ("reads_per_s", "writes_per_s", "processor_percent_mean", "processor_percent_max", "resident_mb_mean", "patch_p50_s", "patch_p99_s", "patch_last_s")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build-dir", default="build")
    parser.add_argument("--node-program", help="Another build of snipefalld, to compare with.")
    parser.add_argument("--nodes", default="4,7,14,28")
    parser.add_argument("--services", type=int, default=6)
    parser.add_argument("--idle-s", type=float, default=10)
    parser.add_argument("--patches", type=int, default=8)
    parser.add_argument("--target-nodes", type=int, default=470, help="The size to which the fitted lines are drawn.")
    parser.add_argument("--json", help="File for the figures.")
    options = parser.parse_args()
    results = []
    for nodes in map(int, options.nodes.split(",")):
        results.append(measure(options, nodes))
        print(json.dumps(results[-1]), flush=True)
    slopes = {}
    if len(results) > 1:
        for name in FITTED:
            intercept, slope, error = fit([(result["nodes"], result[name]) for result in results])
            slopes[name] = {"intercept": intercept, "slope": slope, "standard_error": error, "at_target": intercept + slope * options.target_nodes}
            print(f"{name}: {intercept:.4g} + n * {slope:.4g} (standard error {error:.2g}); at {options.target_nodes} nodes {slopes[name]['at_target']:.5g}")
    if options.json:
        pathlib.Path(options.json).write_text(json.dumps({"results": results, "fit": slopes}, indent=1) + "\n")


if __name__ == "__main__":
    main()
