"""One faulty backend among 40 sends bytes that are no answer, and the node that reads them aborts."""
import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand_ins_2"))
from site2 import HOST, Backend, Keeper, KeptConnection, gather_route, header, main, say

SHARDS = 20
CLIENTS_PER_NODE = 8
PAUSE_S = 0.6
SPOILED_SHARE = 0.05
DURATION_S = 40
# A chunked answer without a signature, whose last line is longer than the fields of a header may be.
JUNK = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\njunk: " + b"j" * 65560 + b"\r\n\r\n"


class FaultyBackend(Backend):
    faulty = False
    spoiled = 0

    async def run(self, method, target, headers, body, writer):
        if not self.faulty or random.random() >= SPOILED_SHARE:
            await super().run(method, target, headers, body, writer)
            return
        self.spoiled += 1
        self.note_run(method, target, headers)
        self.site.record("spoiled answer to", header(headers, "request-id"), "by", self.id)
        writer.write(JUNK)


async def case(site, trouble):
    await site.start_store()
    shards = [f"shard-{number}" for number in range(SHARDS)]
    for shard in shards:
        await site.add_backend(Backend(site, shard, "barn-north"))
        if shard != shards[0]:
            await site.add_backend(Backend(site, shard, "barn-south"))
    faulty = await site.add_backend(FaultyBackend(site, shards[0], "barn-south"))
    site.configure([gather_route("peek", "/peek/", shards)], shards)
    zones = ("barn-north", "barn-south", "mill-shed", "barn-south")
    for number, zone in enumerate(zones, 1):
        await site.start_node(f"front-{number}", number, zone)
    if not await site.wait_ready(site.nodes):
        say(site.record, "the nodes did not get ready")
        return 2
    keeper = Keeper(site)
    faulty.faulty = trouble
    answers = {}
    lost = {node.name: 0 for node in site.nodes}
    end = time.monotonic() + DURATION_S

    async def client(node):
        connection = KeptConnection(node)
        await asyncio.sleep(random.random() * PAUSE_S)
        while time.monotonic() < end:
            identity = site.request_id()
            site.record("query", identity, "to", node.name)
            request = f"GET /peek/{identity} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {identity}\r\nDeadline-Ms: 500\r\n\r\n"
            status, kept = await connection.ask(request.encode(), 1.0)
            answers[status] = answers.get(status, 0) + 1
            passed_on = any(backend != faulty.id for backend in site.runs.get(identity, []))
            site.record("answer", identity, "none" if not status else status)
            if status == 0 and kept and passed_on:
                lost[node.name] += 1
                site.record("lost", identity, "from a kept connection, passed on to sound backends, connection closed without an answer")
            await asyncio.sleep(PAUSE_S)
        connection.close()

    await asyncio.gather(*(client(node) for node in site.nodes for _ in range(CLIENTS_PER_NODE)))
    await keeper.stop()
    say(site.record, f"answers by status, 0 for a connection that closed, None for no connection: {answers}; spoiled answers: {faulty.spoiled}; "
                     f"lost requests: {lost}; ends of processes: {keeper.ends}; Fault: {'broken' if keeper.breaks_fault() else 'held'}")
    return 1 if max(lost.values()) > 3 else 0


main(case)
