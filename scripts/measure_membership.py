#!/usr/bin/env python3
"""Measures membership and facts with real processes on loopback.

Starts membership_member in several sizes, without loss and with 10% of the datagrams dropped at the sender, and measures the join, the traffic, the processor
time, the spread of facts, the effect of a stop of 3 s and the detection of kills. Prints a table and writes JSON. All processes are ended in every case.
"""
import argparse
import json
import math
import pathlib
import signal
import statistics
import subprocess
import sys
import tempfile
import time

HEADER_BYTES = 28  # IPv4 and UDP headers of a datagram.
SETTLE_S = 12  # The join phase of a node lasts 10 s.


class Member:
    def __init__(self, program, index, seeds, drop, folder):
        self.name = f"node-{index:03}"
        self.path = folder / f"{self.name}.log"
        command = [program, "--id", self.name, "--peer-address", "127.0.0.1:0", "--drop-probability", str(drop), "--max-seconds", "300"]
        for seed in seeds:
            command += ["--seed", seed]
        with open(self.path, "w") as output:
            self.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=output, stderr=subprocess.STDOUT, text=True)

    def events(self, *prefix):
        found = []
        for line in self.path.read_text().splitlines():
            words = line.split()
            if words[1:1 + len(prefix)] == list(prefix):
                found.append((int(words[0]), words[1:]))
        return found

    def send(self, command):
        self.process.stdin.write(command + "\n")
        self.process.stdin.flush()

    def address(self):
        wait(lambda: self.events("started"), 10)
        return self.events("started")[0][1][1]

    def statistics(self):
        when, words = self.events("stats")[-1]
        return {"ms": when, **{key: int(value) for key, value in (word.split("=") for word in words[1:])}}


def wait(condition, limit_s):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.1)
    return False


def snapshot(members):
    before = [len(member.events("stats")) for member in members]
    for member in members:
        member.send("stats")
    wait(lambda: all(len(member.events("stats")) > count for member, count in zip(members, before)), 10)
    return [member.statistics() for member in members]


def count(members, since_ms, *prefix):
    return sum(1 for member in members for when, _ in member.events(*prefix) if when >= since_ms)


def now_ms():
    return int(time.time() * 1000)


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else None


def steady(members, seconds):
    first, since = snapshot(members), now_ms()
    time.sleep(seconds)
    rows = []
    for a, b in zip(first, snapshot(members)):
        span = (b["ms"] - a["ms"]) / 1000
        rate = {key: (b[key] - a[key]) / span for key in a}
        rows.append({"sent": rate["bytes_sent"] + HEADER_BYTES * rate["datagrams_sent"],
                     "received": rate["bytes_received"] + HEADER_BYTES * rate["datagrams_received"],
                     "processor_percent": rate["processor_us"] / 1e4,
                     "resident_kb": b["resident_kb"], "refused": b["refused"]})
    result = {f"{key}_mean": statistics.mean(row[key] for row in rows) for key in rows[0]}
    result["sent_max"] = max(row["sent"] for row in rows)
    result["processor_percent_max"] = max(row["processor_percent"] for row in rows)
    result["false_suspicions"] = len({(w[2]) for m in members for t, w in m.events("member", "suspected") if t >= since})
    result["false_deaths"] = count(members, since, "member", "died")
    return result


def spread_facts(members, facts):
    spreads, lost = [], 0
    for i in range(facts):
        origin, key = members[i * 7 % len(members)], f"fact/{i}"
        others = [member for member in members if member is not origin]
        origin.send(f"publish {key}")
        if not wait(lambda: all(member.events("fact", key) for member in others), 10):
            lost += 1
            continue
        start = origin.events("published", key)[0][0]
        spreads.append(max(member.events("fact", key)[0][0] for member in others) - start)
    return {"fact_ms_median": quantile(spreads, 0.5), "fact_ms_max": max(spreads, default=None), "facts_lost": lost, "fact_ms": spreads}


def stop_for_3s(members):
    since, victim = now_ms(), members[len(members) // 2]
    victim.process.send_signal(signal.SIGSTOP)
    time.sleep(3)
    victim.process.send_signal(signal.SIGCONT)
    time.sleep(8)
    return {"stop_suspicions": count(members, since, "member", "suspected"), "stop_deaths": count(members, since, "member", "died")}


def kill_some(members, kills):
    first, last, missed = [], [], 0
    victims = members[-kills:]
    survivors = members[:-kills]
    for victim in victims:
        start = now_ms()
        victim.process.kill()
        found = wait(lambda: all(member.events("member", "died", victim.name) for member in survivors), 40)
        times = [member.events("member", "died", victim.name)[0][0] - start for member in survivors if member.events("member", "died", victim.name)]
        missed += 0 if found else 1
        if times:
            first.append(min(times))
            last.append(max(times))
    wrong = sum(1 for member in survivors for _, words in member.events("member", "died") if words[2] not in {victim.name for victim in victims})
    return {"detect_first_ms": first, "detect_all_ms": last, "kills_missed": missed, "wrong_deaths_in_run": wrong}


def measure(program, size, drop, arguments):
    members = []
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        try:
            started, seeds = time.monotonic(), []
            for index in range(size):
                members.append(Member(program, index, seeds, drop, folder))
                if index < 2:
                    seeds.append(members[-1].address())
            joined = wait(lambda: all(len(member.events("member", "joined")) >= size - 1 for member in members), 60)
            result = {"size": size, "drop": drop, "joined": joined, "join_s": time.monotonic() - started}
            time.sleep(SETTLE_S)
            result.update(steady(members, arguments.seconds))
            result.update(spread_facts(members, arguments.facts))
            result.update(stop_for_3s(members))
            result.update(kill_some(members, min(arguments.kills, size // 3)))
            return result
        finally:
            for member in members:
                member.process.kill()
            for member in members:
                member.process.wait()
                member.process.stdin.close()


def fit(points):
    """Fits y = a + b x by least squares; returns a, b and the standard error of b."""
    count_, mean_x, mean_y = len(points), statistics.mean(x for x, _ in points), statistics.mean(y for _, y in points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if count_ < 3 or spread == 0:
        return None
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residual = sum((y - intercept - slope * x) ** 2 for x, y in points) / (count_ - 2)
    return {"intercept": intercept, "slope": slope, "slope_error": math.sqrt(residual / spread)}


def print_row(row):
    print(f"{row['size']:4} {row['drop']:4.0%} {row['join_s']:6.1f} {row['sent_mean']:7.0f} {row['sent_max']:7.0f} {row['received_mean']:7.0f} "
          f"{row['processor_percent_mean']:6.3f} {row['resident_kb_mean'] / 1024:6.1f} {row['false_suspicions']:5} {row['false_deaths']:5} "
          f"{row['fact_ms_median']!s:>6} {row['fact_ms_max']!s:>6} {row['facts_lost']:4} {row['stop_deaths']:5} "
          f"{statistics.mean(row['detect_first_ms'] or [math.nan]):7.0f} {max(row['detect_all_ms'], default=math.nan):7.0f} {row['kills_missed']:4} "
          f"{row['wrong_deaths_in_run']:5}", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build-dir", default="build")
    parser.add_argument("--sizes", default="7,14,28,56,100")
    parser.add_argument("--drops", default="0,0.1")
    parser.add_argument("--seconds", type=int, default=20, help="length of the steady phase")
    parser.add_argument("--facts", type=int, default=10)
    parser.add_argument("--kills", type=int, default=3)
    parser.add_argument("--json", default="membership.json")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    program = str(pathlib.Path(arguments.build_dir, "bin", "membership_member").resolve())
    print("size drop join_s  sentB/s sentMax  recvB/s  cpu%  res_MB  susp  died fact50 factMax lost stopD detect1 detectN miss wrong", flush=True)
    rows = []
    for drop in (float(text) for text in arguments.drops.split(",")):
        for size in (int(text) for text in arguments.sizes.split(",")):
            rows.append(measure(program, size, drop, arguments))
            print_row(rows[-1])
    fits = {}
    for drop in sorted({row["drop"] for row in rows}):
        for key in ("sent_mean", "processor_percent_mean", "resident_kb_mean"):
            line = fit([(row["size"], row[key]) for row in rows if row["drop"] == drop])
            if line:
                fits[f"{key} drop {drop}"] = line
                print(f"{key}, drop {drop:.0%}: {line['intercept']:.3f} + ({line['slope']:.5f} +- {line['slope_error']:.5f}) * size; "
                      f"at 470: {line['intercept'] + 470 * line['slope']:.3f}")
    pathlib.Path(arguments.json).write_text(json.dumps({"arguments": vars(arguments), "rows": rows, "fits": fits}, indent=1) + "\n")


main()
