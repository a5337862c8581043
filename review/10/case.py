"""After the loss of five of seven machines the directory goes on naming them."""
import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand_ins_2"))
from site2 import Backend, gather_route, main, say

ZONES = ("barn-north", "barn-north", "barn-north", "barn-south", "barn-south", "mill-shed", "mill-shed")
SURVIVORS = 2
JOINED_S = 10
WATCHED_S = 50


async def case(site, trouble):
    await site.start_store()
    shards = [f"shard-{number}" for number in range(4)]
    for shard in shards:
        for zone in ("barn-north", "barn-south"):
            await site.add_backend(Backend(site, shard, zone))
    site.configure([gather_route("peek", "/peek/", shards)], shards)
    for number, zone in enumerate(ZONES, 1):
        await site.start_node(f"front-{number}", number, zone)
    if not await site.wait_ready(site.nodes):
        say(site.record, "the nodes did not get ready")
        return 2
    await asyncio.sleep(JOINED_S)
    left = site.nodes[:SURVIVORS]
    lost = site.nodes[SURVIVORS:]
    alive = {node.front for node in left}
    dead = {node.front for node in lost} if trouble else set()
    lost_at = time.monotonic()
    if trouble:
        for node in lost:
            site.signal(node, signal.SIGKILL)
    allowed_s = site.BOUNDS["stability_window_ms"] / 1000 + 3
    wrong = 0
    last = 0.0
    answers = 0
    while time.monotonic() < lost_at + WATCHED_S:
        for node in left:
            asked = time.monotonic()
            addresses = await site.directory(node)
            site.record("directory of", node.name, "names", addresses)
            if addresses is None:
                continue
            answers += 1
            if asked > lost_at + allowed_s and dead.intersection(addresses) and alive.intersection(addresses):
                wrong += 1
                last = asked - lost_at
        await asyncio.sleep(0.5)
    say(site.record, f"{answers} answers; more than {allowed_s:.0f} s after the loss {wrong} of them named a lost machine beside a running one, "
                     f"the last one after {last:.1f} s")
    return 1 if wrong > 3 else 0


main(case)
