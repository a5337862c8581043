"""One of seven machines is left: it goes on naming the lost ones in its directory."""

import asyncio
import json
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_ins_3"))
sys.dont_write_bytecode = True
import small_platform as sp  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DEPLOYMENTS = 6  # Independent ones, beside each other.
MACHINES = 7
LATE_S = sp.BOUNDS["stability_window_ms"] / 1000 + 3
WATCHED_S = 30
LOOKUP_EVERY_S = 0.5
REQUEST_EVERY_S = 5  # Of callers who know the machine that is left.
STARTED = time.monotonic()
lines = []


def note(text):
    lines.append("%8.3f %s" % (time.monotonic() - STARTED, text))


async def resolve(node):
    """The addresses that the node's directory names; None if it answers nothing useful."""
    path = "/snipefall/resolve?name=pupu76.example&region=r1&zone=%s" % node.settings["zone"]
    try:
        status, _, body = await sp.call(node.addresses["directory"], "GET", path, {"Host": "directory"}, timeout=1)
        return json.loads(body)["addrs"] if status == 200 else None
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


async def request(node, request_id):
    headers = {"Host": "pupu76.example", "Request-Id": request_id, "Deadline-Ms": "1500"}
    try:
        return (await sp.call(node.addresses["front"], "GET", "/recall/one", headers, timeout=2))[0]
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


async def deployment(number):
    async with sp.Site() as site:
        for index in range(3):
            await site.add_backend(sp.Backend("i-%d" % index, "archive", work=0.02))
        recall = sp.route("recall", "/recall/", timeout=1500, target=400, service="archive")
        site.store.put("config", "main", sp.configuration(7, [recall], ["archive"], max_conns=100))
        await site.start_nodes(MACHINES)
        await asyncio.sleep(8)
        last = site.nodes[-1]
        known = await resolve(last)
        if not known or len(known) != MACHINES or await request(last, "first-%d" % number) != 200:
            raise RuntimeError("deployment %d: the directory names %s" % (number, known))
        lost = set() if not TROUBLE else {node.addresses["front"] for node in site.nodes[:-1]}
        if TROUBLE:
            for node in site.nodes[:-1]:
                node.send(signal.SIGKILL)
        begun = time.monotonic()
        note("deployment %d: %s, %s is left" % (number, "%d machines killed" % len(lost) if TROUBLE else "none killed", last.name))
        named, late, wrong_at, requests = None, 0, 0.0, 0
        while time.monotonic() - begun < WATCHED_S:
            addresses = await resolve(last)
            after = time.monotonic() - begun
            gone = sorted(lost.intersection(addresses or []))
            if gone != named:
                named = gone
                note("deployment %d: %.1f s after it, the directory names %d addresses, %d of them lost" % (number, after, len(addresses or []), len(gone)))
            if gone and last.addresses["front"] in addresses:
                wrong_at = after
                late += after > LATE_S
            if after > REQUEST_EVERY_S * requests:
                requests += 1
                await request(last, "r-%d-%d" % (number, requests))
            await asyncio.sleep(LOOKUP_EVERY_S)
        note("deployment %d: %d answers later than %.0f s name a lost machine beside the running one, the last one after %.1f s" % (
            number, late, LATE_S, wrong_at))
        return late


async def main():
    late = await asyncio.gather(*[deployment(number) for number in range(1, DEPLOYMENTS + 1)])
    note("late answers that name lost machines, by deployment: %s" % ", ".join(map(str, late)))
    return 1 if max(late) > 3 else 0


if __name__ == "__main__":
    try:
        status = asyncio.run(asyncio.wait_for(main(), 100))
    except Exception as error:  # noqa: BLE001
        note("the case could not run: %r" % error)
        status = 2
    with open(os.path.join(HERE, "record.txt"), "w") as record:
        record.write("\n".join(lines) + "\n")
    print(lines[-1])
    sys.exit(status)
