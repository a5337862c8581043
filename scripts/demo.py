#!/usr/bin/env python3
"""Demonstrates the complete path of a query on a local site; scripts/demo.sh builds the project and runs this script.

Exits with 1 if a request got no response, the posted order did not run exactly once, or an answer stated a wrong coverage.
"""
import collections
import os
import signal
import sys
import threading
import time

from local_site import Site, http

SHARDS = 60
ITEMS_PER_SHARD = 100
NODES = {"node-1": "domain-a", "node-2": "domain-b", "node-3": "domain-c"}
SERVICES = {
    "clerk-desk-01": {"answer_policy": "wait_for_coverage", "slots_per_server": 2, "connections_per_server": 25},
    "counter-desk-01": {"answer_policy": "answer_in_time", "good_enough_ms": 400, "slots_per_server": 3, "connections_per_server": 30},
}


def new_request_id():
    """Returns a new UUIDv7 (RFC 9562)."""
    value = (int(time.time() * 1000) << 80) | int.from_bytes(os.urandom(10), "big")
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    digits = f"{value:032x}"
    return "-".join([digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:]])


def label_is_true(body):
    """Compares the coverage stated in an answer with the items and shards that its results contain."""
    coverage = body["coverage"]
    shards = {item["shard"] for item in body["results"]}
    one_snapshot = {item["snapshot"] for item in body["results"]} <= {body["snapshot"]}
    return (one_snapshot and len(shards) == coverage["shards_answered"] and coverage["shards_total"] == SHARDS
            and coverage["items_seen"] == len(shards) * ITEMS_PER_SHARD and coverage["items_total"] == SHARDS * ITEMS_PER_SHARD
            and len(coverage["missing"]) == SHARDS - len(shards))


class Caller(threading.Thread):
    """Sends the queries of one service sequentially to the entry nodes that /v1/entries lists."""

    def __init__(self, site, service, counts, stop):
        super().__init__(daemon=True)
        self.site, self.service, self.counts, self.stop = site, service, counts, stop
        self.entries, self.until, self.turn = [], 0, 0

    def entry(self):
        if time.monotonic() >= self.until:
            for node in self.site.nodes.values():
                try:
                    status, body = http("GET", node["callers"], f"/v1/entries?service={self.service}", timeout=2)
                except OSError:
                    continue
                if status == 200 and body["entries"]:
                    self.entries, self.until = body["entries"], time.monotonic() + body["ttl_ms"] / 1000
                    break
        self.turn += 1
        return self.entries[self.turn % len(self.entries)]

    def run(self):
        while not self.stop.is_set():
            self.counts["sent"] += 1
            try:
                status, body = http("POST", self.entry(), f"/v1/services/{self.service}/query", {"query": {"text": "demo"}})
            except OSError:
                self.counts["cut"] += 1
                continue
            if status != 200:
                self.counts["refused"] += 1
                continue
            self.counts["whole" if not body["coverage"]["missing"] else "partial"] += 1
            self.counts["false_labels"] += 0 if label_is_true(body) else 1


def show(service, body):
    coverage = body["coverage"]
    print(f"  {service}: snapshot {body['snapshot']}, {coverage['shards_answered']} of {coverage['shards_total']} shards, "
          f"{coverage['items_seen']} of {coverage['items_total']} items, {len(coverage['missing'])} missing")


def run(site):
    site.start_platform()
    for service, settings in SERVICES.items():
        for number, domain in enumerate(("domain-a", "domain-b"), 1):
            site.add_server(f"{service}-{number}", service, domain, shards=SHARDS, items_per_shard=ITEMS_PER_SHARD, slots=settings["slots_per_server"],
                            connections=settings["connections_per_server"], latency_ms=6, connect_cost_ms=6)
    site.publish_vms()
    for name, domain in NODES.items():
        site.add_node(name, domain)
    for name in NODES:
        site.wait_ready(name)
    print(f"started the platform, {len(NODES)} nodes and {len(site.servers)} backend servers")

    status, body = site.patch({"entry_ttl_ms": 1000, "services": {name: {"version": "v1", **settings} for name, settings in SERVICES.items()}}, "demo services")
    print(f"patch: {body['message']}")
    version = body["version"]
    site.wait_for(lambda: all(http("GET", node["operators"], "/v1/config")[1]["version"] == version for node in site.nodes.values()), "the patch in force")
    for name, node in site.nodes.items():
        print(f"  {name}: version {http('GET', node['operators'], '/v1/config')[1]['version']} in force")

    entry = site.nodes["node-1"]["callers"]
    for service in SERVICES:
        site.wait_for(lambda service=service: http("POST", entry, f"/v1/services/{service}/query", {"query": {}})[0] == 200, service)
        print(f"entries of {service}: {http('GET', entry, f'/v1/entries?service={service}')[1]['entries']}")
        show(service, http("POST", entry, f"/v1/services/{service}/query", {"query": {"text": "demo"}})[1])

    counts = collections.Counter()
    request_id = new_request_id()
    orders = [http("POST", node["callers"], "/v1/services/counter-desk-01/execute", {"body": {"order": "maple bowl blank"}}, {"Request-Id": request_id})
              for node in site.nodes.values()]
    runs = [entry for server in site.servers.values() if server["service"] == "counter-desk-01"
            for entry in http("GET", server["address"], "/control")[1]["runs"] if entry["request_id"] == request_id]
    total_runs = sum(entry["runs"] for entry in runs)
    counts["doubled"] = max(0, total_runs - 1)
    print(f"posted one order through {len(orders)} nodes: {[status for status, _ in orders]}, it ran {total_runs} time(s)")
    if total_runs != 1:
        print(orders)
        counts["cut"] += 1 if total_runs == 0 else 0

    stop = threading.Event()
    callers = [Caller(site, service, counts, stop) for service in SERVICES for _ in range(2)]
    for caller in callers:
        caller.start()
    time.sleep(2)
    print("stopping node-3 gracefully under load")
    site.processes["node-3"].send_signal(signal.SIGTERM)
    site.processes["node-3"].wait(timeout=30)
    print(f"  node-3 ended with {site.processes['node-3'].returncode}")
    time.sleep(2)
    stop.set()
    for caller in callers:
        caller.join(timeout=20)
    print(f"queries: {counts['sent']} sent, {counts['whole']} whole, {counts['partial']} labelled partial, {counts['refused']} refused, "
          f"{counts['cut']} cut, {counts['doubled']} doubled, {counts['false_labels']} false labels")
    return 1 if counts["cut"] or counts["doubled"] or counts["false_labels"] else 0


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    site = Site(sys.argv[1])
    try:
        return run(site)
    except Exception:
        for name in site.processes:
            print(f"--- {name}\n{site.log(name)[-1500:]}", file=sys.stderr)
        raise
    finally:
        site.stop()


sys.exit(main())
